// Checks the Promela specifications with spin: every search must be exhaustive and find no violation, and every seeded
// fault must be found as a violation. Works in build/model. An optional argument names the only specification to check.
import { execFile } from "node:child_process";
import { mkdirSync, rmSync } from "node:fs";
import { join, resolve } from "node:path";
import { promisify } from "node:util";

const run = promisify(execFile);

const MEMORY_LIMIT_MB = 1800;
const DEPTH_LIMIT = 1_000_000;
/** Timeout of one search in milliseconds; the largest search took 15 s when this was written. */
const SEARCH_TIMEOUT_MS = 120_000;

/** Fault searches that run concurrently; the exhaustive searches run one at a time to stay within the memory limit. */
const FAULT_WORKERS = 3;

const DROPS = "WITH_DROPS";
const DRAIN = "WITH_DRAIN";
const SPECIFICATIONS = [
    {
        name: "ticket",
        variants: [[DROPS], [DRAIN]],
        faults: [
            ["NO_FENCE"],
            ["NO_TOMBSTONE"],
            ["RETRY_UNKNOWN"],
            ["PENDING_IS_NOT_RUN"],
            ["NO_JOIN"],
            ["REUSE_ISSUER_INCARNATION"],
            ["REUSE_AGENT_INCARNATION"],
            ["SETTLE_BEFORE_END"],
            ["SETTLE_WITHOUT_ALL"],
            ["NO_LOW_WATER", DROPS],
            ["START_BELOW_LOW_WATER", DROPS],
            ["REVOKE_IGNORES_LOW_WATER", DROPS],
            ["NO_ISSUER_FENCE", DROPS],
            ["START_WHILE_DRAINING", DRAIN],
            ["LEAVE_EARLY", DRAIN],
        ],
    },
    {
        name: "configuration",
        variants: [[]],
        faults: [
            ["NO_CAS"],
            ["NO_HEAD_CAS"],
            ["NO_TOKEN_CONDITION"],
            ["TOKEN_READ_ONLY"],
            ["ADOPT_LOWER"],
            ["HEAD_BEFORE_SECTIONS"],
        ],
    },
    {
        name: "lease",
        variants: [[]],
        faults: [
            ["LONG_ENDPOINT_LEASE"],
            ["LONG_ENTRY_LEASE"],
            ["SHORT_EXPIRY"],
            ["NO_ENTRY_LEASE"],
            ["NO_HORIZON"],
            ["NO_START_WINDOW"],
            ["RENEW_BEFORE_CHECK"],
            ["RENEW_WHILE_STOPPING"],
        ],
    },
    {
        name: "settle",
        variants: [[]],
        faults: [
            ["RESTART_WITHOUT_LIST"],
            ["LIST_OF_ANOTHER_INCARNATION"],
            ["LIST_BEFORE_STOP"],
            ["NO_NEW_FENCE"],
            ["EARLY_LATE_STARTS"],
        ],
    },
];

/** Compiles and searches one variant; returns whether the search was complete, and the violation found, if any. */
async function search(name, defines, extraFlags) {
    const folder = join("build", "model", [name, ...defines].join("-"));
    rmSync(folder, { recursive: true, force: true });
    mkdirSync(folder, { recursive: true });
    const flags = defines.map(define => `-D${define}`);
    await run("spin", [...flags, "-a", resolve("spec", `${name}.pml`)], { cwd: folder });
    const compile = ["-DSAFETY", "-DNOCLAIM", `-DMEMLIM=${MEMORY_LIMIT_MB}`, ...extraFlags, "-o", "pan", "pan.c"];
    await run("gcc", compile, { cwd: folder });
    // -E ignores invalid end states, because every process may stop at any time.
    const search = run("./pan", ["-E", `-m${DEPTH_LIMIT}`], { cwd: folder, timeout: SEARCH_TIMEOUT_MS });
    const { code, stdout } = await search.then(
        output => ({ code: 0, ...output }),
        error => ({ code: error.code, stdout: String(error.stdout) }),
    );
    const states = Number(/^\s*([0-9.e+]+) states, stored/m.exec(stdout)?.[1] ?? NaN);
    const errors = Number(/errors: (\d+)/.exec(stdout)?.[1] ?? NaN);
    const truncated = /max search depth too small|Search not completed|out of memory|memory bound/i.test(stdout);
    const violation = /^pan:\d+: (assertion violated.*?)(?: \(at depth \d+\))?$/m.exec(stdout)?.[1];
    return { complete: code === 0 && errors === 0 && !truncated && states > 0, states, violation, stdout };
}

async function checkVariant(name, defines) {
    const label = [name, ...defines].join(" ");
    const { complete, states, violation, stdout } = await search(name, defines, ["-O2"]);
    if (complete && violation === undefined) {
        console.log(`${label}: ${states} states, search complete, no violation`);
        return true;
    }
    console.log(`${label}: FAILED, ${violation ?? "search incomplete"}\n${stdout}`);
    return false;
}

async function checkFault(name, defines) {
    const label = [name, ...defines].join(" ");
    const { states, violation, stdout } = await search(name, defines, ["-O0"]);
    if (violation !== undefined) {
        console.log(`${label}: found after ${states} states, ${violation}`);
        return true;
    }
    console.log(`${label}: FAILED, the seeded fault was not found\n${stdout}`);
    return false;
}

const only = process.argv[2];
const startedAt = Date.now();
const chosen = SPECIFICATIONS.filter(({ name }) => only === undefined || name === only);
const results = [];
for (const { name, variants, faults } of chosen) {
    for (const defines of variants) {
        results.push(await checkVariant(name, defines));
    }
    const waiting = [...faults];
    const work = async () => {
        for (let defines = waiting.shift(); defines !== undefined; defines = waiting.shift()) {
            results.push(await checkFault(name, defines));
        }
    };
    await Promise.all(Array.from({ length: FAULT_WORKERS }, work));
}
const failed = results.filter(passed => !passed).length;
console.log(`${results.length} searches, ${failed} failed, ${Math.round((Date.now() - startedAt) / 1000)} s`);
process.exitCode = failed > 0 || results.length === 0 ? 1 : 0;
