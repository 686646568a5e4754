// Runs the tests below src, platform and scripts with node:test and excuses exactly the failures listed in
// KNOWN-RED.txt; none if that file is missing. Arguments limit the run, and the entries that apply, to the given files.
import { spawn } from "node:child_process";
import { existsSync, mkdirSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { join } from "node:path";
import { collectResults, judge, parseKnownRed } from "./judgeTests.mjs";

const KNOWN_RED = "KNOWN-RED.txt";
const ROOTS = ["src", "platform", "scripts"];
/** Test files that run concurrently. One per core starved the fault tests, whose clocks run three times faster. */
const CONCURRENT_FILES = 5;
const EVENTS = join("build", "test-events.jsonl");

function findTests() {
    return ROOTS
        .flatMap(root => readdirSync(root, { recursive: true }).map(name => join(root, String(name))))
        .filter(name => /\.test\.(ts|mjs)$/.test(name))
        .sort();
}

function run(files) {
    const reporters = [[process.stdout.isTTY ? "spec" : "tap", "stdout"], ["./scripts/testEvents.mjs", EVENTS]].flatMap(
        ([reporter, destination]) => {
            return ["--test-reporter", reporter, "--test-reporter-destination", destination];
        },
    );
    const child = spawn(process.execPath, [
        "--import",
        "tsx",
        "--test",
        `--test-concurrency=${CONCURRENT_FILES}`,
        ...reporters,
        ...files,
    ], { stdio: "inherit" });
    return new Promise((resolve, reject) => {
        child.once("error", reject);
        child.once("close", (code, signal) => resolve(code ?? signal));
    });
}

const chosen = process.argv.slice(2);
const listed = parseKnownRed(existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, "utf8") : "");
const knownRed = listed.tests.filter(name => {
    return chosen.length === 0 || chosen.some(file => name.startsWith(`${file} > `));
});
mkdirSync("build", { recursive: true });
rmSync(EVENTS, { force: true });
const exitCode = await run(chosen.length === 0 ? findTests() : chosen);
const lines = readFileSync(EVENTS, "utf8").split("\n").filter(line => line !== "");
const results = collectResults(lines.map(line => JSON.parse(line)), process.cwd());
const { excused, problems } = judge(results, knownRed, exitCode);
excused.forEach(name => console.log(`failure excused (KNOWN-RED.txt): ${name}`));
listed.benches.forEach(name => console.log(`missed load target (KNOWN-RED.txt): ${name}`));
problems.forEach(problem => console.log(problem));
process.exitCode = problems.length === 0 ? 0 : 1;
