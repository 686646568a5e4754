// Runs an entry and an agent from the bundle in target/ on loopback for `RUN_MS` and writes the code that they have
// used to V8's code cache. It must run under the flags of deploy/system.toml, because V8 accepts a cache only under the
// flags it was created with.
"use strict";

const { mkdtempSync, rmSync, writeFileSync } = require("node:fs");
const { tmpdir } = require("node:os");
const { join, resolve } = require("node:path");

/** Time in which the entry and the agent start and attach to each other. */
const RUN_MS = 1500;

const ENTRY_IP = "127.77.0.1";
const AGENT_IP = "127.77.0.2";
const UNUSED_ADDRESS = "127.77.0.3:8169";

const { script, run, cache } = require(resolve("target/waxwingshunt.cjs"));
const directory = mkdtempSync(join(tmpdir(), "code-cache-"));

function start(name, ip, own) {
    const path = join(directory, `${name}.json`);
    const settings = {
        "node": name,
        "ip": ip,
        "zone": "build",
        "region": "build",
        "internal-ports": [7720, 7735],
        "seeds": [`${ENTRY_IP}:8166`],
        "bounds": { "grace-s": 1 },
        "platform": { addr: UNUSED_ADDRESS },
        ...own,
    };
    writeFileSync(path, JSON.stringify(settings));
    process.argv = [process.execPath, "waxwingshunt", "--settings", path];
    run();
}

function finish() {
    rmSync(directory, { recursive: true, force: true });
    writeFileSync(cache, script.createCachedData());
    process.exit(0);
}

// If the loopback addresses cannot be used, the cache still holds the code that loading the bundle needs.
process.on("uncaughtException", finish);
process.on("unhandledRejection", finish);
setTimeout(finish, RUN_MS);
start("entry", ENTRY_IP, { listen: { front: `${ENTRY_IP}:8161`, ready: `${ENTRY_IP}:8167` } });
start("agent", AGENT_IP, { listen: { control: `${AGENT_IP}:8166` }, app: `${AGENT_IP}:8165` });
setTimeout(() => {
    fetch(`http://${ENTRY_IP}:8161/`).then(answer => answer.text()).catch(() => undefined);
}, RUN_MS / 2);
