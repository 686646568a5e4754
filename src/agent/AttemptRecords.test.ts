import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FaultCode } from "../common/FaultCode.js";
import { Verdict } from "../common/Verdict.js";
import { VirtualClock } from "../common/VirtualClock.js";
import type { Outcome } from "../common/wire/Outcome.js";
import type { AttemptKey } from "./AttemptKey.js";
import { AttemptRecords } from "./AttemptRecords.js";

const ISSUER = "0a".repeat(8);
const RETENTION_MS = 1000;

const step = fc.oneof(
    { weight: 5, arbitrary: fc.record({ kind: fc.constant("start" as const), repeatable: fc.boolean() }) },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("finish" as const),
            verdict: fc.constantFrom(...Object.values(Verdict)),
            ok: fc.boolean(),
            bytes: fc.nat(2000),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("revoke" as const) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("settle" as const) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("advance" as const), ms: fc.nat(1500) }) },
);
const steps = fc.array(fc.tuple(step, fc.nat(3), fc.nat(2), fc.integer({ min: 1, max: 3 })), { maxLength: 80 });

type Steps = typeof steps extends fc.Arbitrary<infer T> ? T : never;

function keyOf(sequence: number, task = 0, attempt = 1): AttemptKey {
    return { issuer: ISSUER, sequence, task, attempt };
}

function ended(key: AttemptKey, verdict: Verdict, ok: boolean): Outcome {
    return { task: key.task, attempt: key.attempt, verdict, ok, runMs: 1 };
}

/** Independent reference model of everything that happened, without any limit. */
class ReferenceModel {
    public readonly started = new Set<string>();
    public readonly running = new Map<string, AttemptKey>();
    public readonly ran = new Set<string>();
    public readonly once = new Set<string>();
    public readonly succeeded = new Set<string>();
    public readonly barred = new Set<string>();
    public readonly settled = new Set<number>();
}

function run(records: AttemptRecords, clock: VirtualClock, sequence: Steps): void {
    const model = new ReferenceModel();
    for (const [action, ticket, task, attempt] of sequence) {
        const key = keyOf(ticket, task, attempt);
        const id = `${ticket}/${task}/${attempt}`;
        if (action.kind === "start") {
            if (records.decideStart(key, action.repeatable).kind === "start") {
                assert.ok(!model.started.has(id), `attempt ${id} started twice`);
                assert.ok(!model.barred.has(id), `revoked attempt ${id} started`);
                assert.ok(!model.settled.has(ticket), `settled ticket ${ticket} started a task`);
                const name = `${ticket}/${task}`;
                assert.ok(!model.ran.has(name) || action.repeatable, `task of ${id} ran twice`);
                assert.ok(!model.ran.has(name) || !model.once.has(name), `task of ${id} was not repeatable`);
                assert.ok(!model.succeeded.has(`${ticket}/${task}`), `task of ${id} ran after a success`);
                assert.ok(![...model.running.keys()].some(other => other.startsWith(`${ticket}/${task}/`)));
                records.begin(key, action.repeatable, "d");
                model.started.add(id);
                if (!action.repeatable) {
                    model.once.add(name);
                }
                model.running.set(id, key);
            }
        }
        else if (action.kind === "finish" && model.running.delete(id)) {
            const ok = action.ok && action.verdict === Verdict.Ran;
            records.finish(key, ended(key, action.verdict, ok), action.bytes);
            if (ok) {
                model.succeeded.add(`${ticket}/${task}`);
            }
            if (action.verdict !== Verdict.NotRun) {
                model.ran.add(`${ticket}/${task}`);
            }
        }
        else if (action.kind === "revoke") {
            const outcome = records.revoke(key);
            assert.equal(outcome === undefined, model.running.has(id), "revoke is wrong about a running attempt");
            if (outcome?.verdict === Verdict.NotRun && !model.started.has(id)) {
                model.barred.add(id);
            }
            if (outcome?.error?.code === FaultCode.Revoked) {
                assert.ok(!model.started.has(id), `started attempt ${id} was reported as never started`);
            }
        }
        else if (action.kind === "settle") {
            model.settled.add(ticket);
            const { complete, tasks } = records.settle(ISSUER, ticket);
            const ran = [...model.ran].filter(name => name.startsWith(`${ticket}/`)).length;
            const reported = tasks.filter(record => record.outcome?.verdict !== Verdict.NotRun).length;
            assert.ok(!complete || reported >= ran, `complete records of ticket ${ticket} miss a task that ran`);
        }
        else if (action.kind === "advance") {
            clock.advance(action.ms);
            records.sweep();
        }
    }
}

describe("AttemptRecords", () => {
    describe("in any sequence of start, finish, revoke, settle and drop", () => {
        for (const maxBytes of [1024, 1_000_000]) {
            it(`guards against a second start and false results, with ${maxBytes} bytes`, () => {
                fc.assert(
                    fc.property(steps, sequence => {
                        const clock = new VirtualClock();
                        run(new AttemptRecords(clock, maxBytes, RETENTION_MS), clock, sequence);
                    }),
                    { seed: 7, numRuns: 1500 },
                );
            });
        }
    });

    describe("drop", () => {
        it("guards against a lost fence: dropping it fences the issuer", () => {
            const clock = new VirtualClock();
            const records = new AttemptRecords(clock, 1_000_000, RETENTION_MS);
            records.settle(ISSUER, 3);
            clock.advance(RETENTION_MS);
            records.sweep();
            assert.equal(records.isIssuerFenced(ISSUER), true);
            assert.equal(records.decideStart(keyOf(9), true).kind, "refuse");
        });

        it("guards against the verdict not run for an attempt whose record was dropped", () => {
            const clock = new VirtualClock();
            const records = new AttemptRecords(clock, 1_000_000, RETENTION_MS);
            records.begin(keyOf(3), false, "d");
            records.finish(keyOf(3), ended(keyOf(3), Verdict.Ran, true), 10);
            clock.advance(RETENTION_MS);
            records.sweep();
            assert.equal(records.revoke(keyOf(3))?.verdict, Verdict.MayHaveRun);
            assert.deepEqual(records.settle(ISSUER, 3), { complete: false, digest: undefined, tasks: [] });
            assert.equal(records.decideStart(keyOf(2), false).kind, "start", "a ticket without records must start");
        });

        it("guards against growth beyond the byte limit while tasks run", () => {
            const records = new AttemptRecords(new VirtualClock(), 4096, RETENTION_MS);
            records.begin(keyOf(1, 0), false, "d");
            for (let task = 1; task < 8; task++) {
                records.begin(keyOf(1, task), false, "d");
                records.finish(keyOf(1, task), ended(keyOf(1, task), Verdict.Ran, true), 100_000);
                assert.ok(records.size <= 4096, `${records.size} bytes kept`);
            }
            assert.equal(records.settle(ISSUER, 1).complete, false);
        });
    });
});
