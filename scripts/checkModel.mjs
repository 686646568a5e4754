// Checks the Promela specifications with spin: every search must be exhaustive and find no violation, and every seeded
// fault must be found as a violation. Works in build/model. An argument limits the check to one specification.
import { execFileSync, spawnSync } from "node:child_process";
import { mkdirSync, rmSync } from "node:fs";
import { join, resolve } from "node:path";

const MEMORY_LIMIT_MB = 1800;
const DEPTH_LIMIT = 1_000_000;
/** Longest time of one search in milliseconds; the largest took 15 s when this was written. */
const SEARCH_LIMIT_MS = 120_000;

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
];

/** Compiles one variant and searches it; returns whether the search was complete and the violation it found, if any. */
function search(name, defines, extraFlags) {
    const folder = join("build", "model", [name, ...defines].join("-"));
    rmSync(folder, { recursive: true, force: true });
    mkdirSync(folder, { recursive: true });
    const flags = defines.map(define => `-D${define}`);
    execFileSync("spin", [...flags, "-a", resolve("spec", `${name}.pml`)], { cwd: folder, stdio: "pipe" });
    const compile = ["-DSAFETY", "-DNOCLAIM", `-DMEMLIM=${MEMORY_LIMIT_MB}`, ...extraFlags, "-o", "pan", "pan.c"];
    execFileSync("gcc", compile, { cwd: folder, stdio: "pipe" });
    // -E ignores invalid end states: every process may stop at any time.
    const options = { cwd: folder, encoding: "utf8", timeout: SEARCH_LIMIT_MS };
    const { status, stdout } = spawnSync("./pan", ["-E", `-m${DEPTH_LIMIT}`], options);
    const states = Number(/^\s*([0-9.e+]+) states, stored/m.exec(stdout)?.[1] ?? NaN);
    const errors = Number(/errors: (\d+)/.exec(stdout)?.[1] ?? NaN);
    const truncated = /max search depth too small|Search not completed|out of memory|memory bound/i.test(stdout);
    const violation = /^pan:\d+: (assertion violated.*?)(?: \(at depth \d+\))?$/m.exec(stdout)?.[1];
    return { complete: status === 0 && errors === 0 && !truncated && states > 0, states, violation, stdout };
}

function checkVariant(name, defines) {
    const label = [name, ...defines].join(" ");
    const { complete, states, violation, stdout } = search(name, defines, ["-O2"]);
    if (complete && violation === undefined) {
        console.log(`${label}: ${states} states, search complete, no violation`);
        return true;
    }
    console.log(`${label}: FAILED, ${violation ?? "search incomplete"}\n${stdout}`);
    return false;
}

function checkFault(name, defines) {
    const label = [name, ...defines].join(" ");
    const { states, violation, stdout } = search(name, defines, ["-O1"]);
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
const results = chosen.flatMap(({ name, variants, faults }) => [
    ...variants.map(defines => checkVariant(name, defines)),
    ...faults.map(defines => checkFault(name, defines)),
]);
const failed = results.filter(passed => !passed).length;
console.log(`${results.length} searches, ${failed} failed, ${Math.round((Date.now() - startedAt) / 1000)} s`);
process.exitCode = failed > 0 || results.length === 0 ? 1 : 0;
