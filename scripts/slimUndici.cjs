// The parts of undici that waxwingshunt uses. The index module of undici also loads fetch, caches, mocks and proxies,
// which take 9 MB of resident memory in every agent.
"use strict";

const Agent = require("undici/lib/dispatcher/agent.js");
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const Pool = require("undici/lib/dispatcher/pool.js");
const api = require("undici/lib/api/index.js");

Object.assign(Dispatcher.prototype, api);

let shared;

/** Has the same contract as `request` of undici, but requires an absolute URL. */
function request(url, options = {}) {
    const { origin, pathname, search } = new URL(url);
    const { dispatcher = shared ??= new Agent(), ...rest } = options;
    const method = options.method ?? (options.body ? "PUT" : "GET");
    return dispatcher.request({ ...rest, origin, path: pathname + search, method });
}

module.exports = { Agent, Pool, request };
