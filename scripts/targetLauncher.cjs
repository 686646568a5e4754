// Runs the bundle beside this file with V8's code cache, which makes its start several times faster. V8 rejects a cache
// of another version or other flags; the program then starts without one.
"use strict";

const { readFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundle = join(__dirname, "bundle.cjs");
const cache = join(__dirname, "bundle.cache");

function readCache() {
    try {
        return readFileSync(cache);
    }
    catch {
        return undefined;
    }
}

/** The bundle, wrapped into a function whose parameters are the variables of a CommonJS module. */
const script = new Script(wrap(readFileSync(bundle, "utf8")), { filename: bundle, cachedData: readCache() });
const main = script.runInThisContext();
const run = () => main.call({}, {}, require, { exports: {} }, bundle, __dirname);

if (require.main === module) {
    run();
}

module.exports = { script, run, cache };
