// Decides from the events of a test run and the failures listed in KNOWN-RED.txt whether the run passes.
import { relative } from "node:path";

/** Separator between the file and the nested names of a test in KNOWN-RED.txt. */
const SEPARATOR = " > ";

/** Cause of a failed suite or file that only repeats the failure of a test in it. */
const DERIVED_CAUSE = "subtestsFailed";

/** Matches the diagnostics with which node:test reports errors that belong to no test. */
const STRAY_ERROR = /asynchronous activity after the test ended|^Error:/;

/**
 * Returns the tests named by the `test:` lines and the missed load targets named by the `bench:` lines, which excuse no
 * test. Throws on an entry with none or several of these lines, and on an entry that is listed twice.
 */
export function parseKnownRed(text) {
    const entries = text.split(/\n\s*\n/).map(entry => entry.trim()).filter(entry => entry !== "");
    const heads = entries.map(entry => {
        const lines = entry.split("\n").filter(line => /^(test|bench): /.test(line)).map(line => line.trim());
        if (lines.length !== 1) {
            const forms = `"test: FILE > SUITE > TEST" or "bench: ARGUMENTS"`;
            throw new Error(`KNOWN-RED.txt: an entry needs exactly one line ${forms}: ${entry}`);
        }
        return lines[0];
    });
    const repeated = heads.find((head, index) => heads.indexOf(head) !== index);
    if (repeated !== undefined) {
        throw new Error(`KNOWN-RED.txt: listed twice: ${repeated}`);
    }
    const named = kind => heads.filter(head => head.startsWith(kind)).map(head => head.slice(kind.length).trim());
    return { tests: named("test: "), benches: named("bench: ") };
}

/** Collects passed, failed and unfinished tests by file and full name, and errors that belong to no test. */
export function collectResults(events, root) {
    const passed = [];
    const failed = [];
    const strayErrors = [];
    const stacks = new Map();
    const open = new Map();
    for (const { type, file, name, nesting, message, cause } of events) {
        if (type === "test:diagnostic") {
            if (STRAY_ERROR.test(message)) {
                strayErrors.push(message);
            }
            continue;
        }
        const ofFile = file === undefined ? "(unknown file)" : relative(root, file);
        const key = JSON.stringify([ofFile, nesting, name]);
        if (type === "test:enqueue") {
            if (name !== file) {
                open.set(key, (open.get(key) ?? 0) + 1);
            }
            continue;
        }
        const names = [...(stacks.get(ofFile) ?? []).slice(0, nesting), name];
        if (type === "test:start") {
            stacks.set(ofFile, names);
            continue;
        }
        open.set(key, (open.get(key) ?? 0) - 1);
        const fullName = [ofFile, ...names].join(SEPARATOR);
        if (type === "test:pass") {
            passed.push(fullName);
        }
        else if (cause !== DERIVED_CAUSE) {
            failed.push(fullName);
        }
    }
    const unfinished = [...open].filter(([, count]) => count > 0).map(([key]) => {
        const [ofFile, , name] = JSON.parse(key);
        return [ofFile, name].join(SEPARATOR);
    });
    return { passed, failed, unfinished, strayErrors };
}

/** Returns the failed tests that KNOWN-RED.txt excuses, and a line for each reason to fail the run. */
export function judge(results, knownRed, exitCode) {
    const { passed, failed, unfinished, strayErrors } = results;
    const excused = knownRed.filter(name => failed.includes(name) && !passed.includes(name));
    const problems = [
        ...failed.filter(name => !excused.includes(name)).map(name => `failed: ${name}`),
        ...excused.filter(name => failed.filter(other => other === name).length > 1)
            .map(name => `listed in KNOWN-RED.txt, but its name is not unique: ${name}`),
        ...unfinished.map(name => `did not finish: ${name}`),
        ...strayErrors.map(message => `error outside of a test: ${message}`),
        ...knownRed.filter(name => passed.includes(name)).map(name => `listed in KNOWN-RED.txt, but passes: ${name}`),
        ...knownRed.filter(name => !passed.includes(name) && !failed.includes(name))
            .map(name => `listed in KNOWN-RED.txt, but does not exist: ${name}`),
    ];
    if (passed.length === 0) {
        problems.push("no test has passed");
    }
    if (exitCode !== 0 && excused.length === 0 && problems.length === 0) {
        problems.push(`the test runner ended with ${exitCode} without a failed test`);
    }
    return { excused, problems };
}
