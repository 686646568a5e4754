import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";

const TASK_CPU = 6000;
const ENTRIES = 8;
const LENGTH_S = 3;

/** Time in which agents attach to their entries. */
const ATTACH_MS = 50;

/** Jobs whose reports are still delayed by the minimum interval when the endpoint reports that it drains. */
const BEFORE_DRAIN = 9;

/**
 * Maximum rates of reports that are not sent with a completion: those of an agent, and the heartbeats to each entry.
 */
const MAX_REPORTS_PER_S = 50;
const HEARTBEATS_PER_S = 1000 / 150;

/** One agent with `entries` entries, whose tasks complete after `runMs`. */
function deploy(entries: number, runMs: (task: string) => number): EmulatedDeployment {
    return new EmulatedDeployment({
        entries,
        agents: 1,
        seed: 1,
        cpu: 64_000,
        taskCpu: TASK_CPU,
        work: task => ({ ms: runMs(task), how: "done" }),
    });
}

describe("EntryLinks", () => {
    describe("many entries that share an agent", () => {
        it("guards against a number of reports proportional to entries times changes", async () => {
            const deployment = deploy(ENTRIES, () => 60);
            await deployment.advance(ATTACH_MS);
            const counts = { load: 0, ended: 0, run: 0 };
            deployment.links.forEach(({ atEntry, atAgent }) => {
                atEntry.onMessage(message => {
                    counts.load += message.kind === "load" ? 1 : 0;
                    counts.ended += message.kind === "ended" ? 1 : 0;
                });
                atAgent.onMessage(message => {
                    counts.run += message.kind === "run" ? 1 : 0;
                });
            });
            for (let job = 0; job < LENGTH_S * 100; job += 1) {
                void deployment.submit(job % ENTRIES, job.toString(16).padStart(16, "0"), 1, 60);
                await deployment.advance(10);
            }
            const others = counts.load - counts.ended;
            const bound = LENGTH_S * (MAX_REPORTS_PER_S + ENTRIES * HEARTBEATS_PER_S);
            assert.ok(counts.run > LENGTH_S * 90, `${counts.run} orders`);
            assert.ok(others <= bound, `${others} reports without a completion, at most ${bound}`);
        });

        it("guards against an entry that is notified too late that the endpoint drains", async () => {
            const deployment = deploy(ENTRIES, () => 60);
            await deployment.advance(500);
            for (let job = 0; job < BEFORE_DRAIN; job += 1) {
                void deployment.submit(0, job.toString(16).padStart(16, "a"), 1, 60);
                await deployment.advance(10);
            }
            deployment.deliverHeartbeat(0, 1, 2, true);
            await deployment.advance(20);
            const before = deployment.records.length;
            for (let entry = 0; entry < ENTRIES; entry += 1) {
                void deployment.submit(entry, entry.toString(16).padStart(16, "0"), 1, 60);
            }
            await deployment.advance(200);
            assert.equal(before, BEFORE_DRAIN);
            assert.equal(deployment.records.length, BEFORE_DRAIN);
        });
    });

    describe("the tasks of one order", () => {
        it("guards against a completed task that is not reported while another one of its order runs", async () => {
            const deployment = deploy(1, task => task.endsWith(".0") ? 50 : 1000);
            const ended: string[] = [];
            await deployment.advance(ATTACH_MS);
            deployment.links[0]?.atEntry.onMessage(message => {
                ended.push(...message.kind === "ended" ? message.runs.map(run => run.task) : []);
            });
            await deployment.advance(500);
            void deployment.submit(0, "00000000000000aa", 2, 1000, undefined, 5000);
            await deployment.advance(300);
            assert.deepEqual(ended, ["00000000000000aa.0.0.0"]);
        });
    });
});
