import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { collectResults, judge, parseKnownRed } from "./judgeTests.mjs";

const FILE = "/root/src/a.test.ts";
const BAD = "src/a.test.ts > outer > bad";

function event(type, name, nesting, more = {}) {
    return { type: `test:${type}`, file: FILE, name, nesting, ...more };
}

/** Events of one suite with a failing and a passing test. */
function suiteEvents() {
    return [
        event("enqueue", FILE, 0),
        ...[["outer", 0], ["bad", 1], ["good", 1]].map(([name, nesting]) => event("enqueue", name, nesting)),
        event("start", "outer", 0),
        event("start", "bad", 1),
        event("fail", "bad", 1, { cause: "testCodeFailure" }),
        event("start", "good", 1),
        event("pass", "good", 1),
        event("fail", "outer", 0, { cause: "subtestsFailed" }),
    ];
}

function verdict(events, knownRed, exitCode = 1) {
    return judge(collectResults(events, "/root"), knownRed, exitCode);
}

describe("judgeTests", () => {
    it("guards against a run that passes although a failed test is not listed", () => {
        assert.deepEqual(verdict(suiteEvents(), []), { excused: [], problems: [`failed: ${BAD}`] });
    });

    it("guards against a run that fails because of a listed failure", () => {
        assert.deepEqual(verdict(suiteEvents(), [BAD]), { excused: [BAD], problems: [] });
    });

    it("guards against a listed test that hides a test of the same name in another suite", () => {
        const other = suiteEvents().map(item => ({ ...item, name: item.name === "outer" ? "second" : item.name }));
        const { problems } = verdict([...suiteEvents(), ...other], [BAD]);
        assert.deepEqual(problems, ["failed: src/a.test.ts > second > bad"]);
    });

    it("guards against a listed test that passes or no longer exists", () => {
        const known = ["src/a.test.ts > outer > good", "src/a.test.ts > gone", BAD];
        assert.deepEqual(verdict(suiteEvents(), known).problems, [
            "listed in KNOWN-RED.txt, but passes: src/a.test.ts > outer > good",
            "listed in KNOWN-RED.txt, but does not exist: src/a.test.ts > gone",
        ]);
    });

    it("guards against a listed test that hides a crash of its file", () => {
        const events = suiteEvents().filter(({ name }) => name !== "good")
            .concat(event("enqueue", "later", 0));
        assert.deepEqual(
            verdict(events, [BAD]).problems,
            [
                "no test has passed",
                "did not finish: src/a.test.ts > later",
            ].reverse(),
        );
    });

    it("guards against a listed test that hides a failed hook or an error outside of a test", () => {
        const hook = suiteEvents().map(item =>
            item.cause === "subtestsFailed" ? { ...item, cause: "hookFailed" } : item
        );
        assert.deepEqual(verdict(hook, [BAD]).problems, ["failed: src/a.test.ts > outer"]);
        const stray = { type: "test:diagnostic", nesting: 0, message: "Error: Test hook generated x" };
        assert.equal(verdict([...suiteEvents(), stray], [BAD]).problems.length, 1);
    });

    it("guards against a listed name that excuses two tests", () => {
        assert.equal(verdict([...suiteEvents(), ...suiteEvents()], [BAD]).problems.length, 1);
    });

    it("guards against a runner that fails without a failed test", () => {
        const passing = [event("start", "good", 0), event("pass", "good", 0)];
        assert.equal(verdict(passing, [], 7).problems.length, 1);
        assert.equal(verdict(passing, [], 0).problems.length, 0);
        assert.equal(verdict([], [], 0).problems.length, 1);
    });

    it("guards against a wrongly parsed list", () => {
        const text = `test: ${BAD}\ncommand: npm test\nseen: x\n\n\ntest: b > c\nseen: y\n`;
        assert.deepEqual(parseKnownRed(text), { tests: [BAD, "b > c"], benches: [] });
        assert.deepEqual(parseKnownRed(""), { tests: [], benches: [] });
        assert.deepEqual(parseKnownRed("bench: --seed 1\nseen: x"), { tests: [], benches: ["--seed 1"] });
        assert.throws(() => parseKnownRed(`test: ${BAD}\nbench: --seed 1`), /exactly one line/);
        assert.throws(() => parseKnownRed("seen: x"), /exactly one line/);
        assert.throws(() => parseKnownRed(`test: ${BAD}\n\ntest: ${BAD}`), /listed twice/);
    });
});
