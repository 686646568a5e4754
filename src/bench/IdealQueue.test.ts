import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../common/SeededRandom.js";
import { IdealQueue } from "./IdealQueue.js";
import { JobClass } from "./JobClass.js";
import type { PlannedJob } from "./PlannedJob.js";
import type { Profile } from "./Profile.js";
import { PROFILES } from "./PROFILES.js";
import { QueueDiscipline } from "./QueueDiscipline.js";
import { SCENARIOS } from "./SCENARIOS.js";
import { Workload } from "./Workload.js";

function profileOf(...speeds: number[]): Profile {
    const workers = speeds.map((speed, index) => {
        return { id: `w${index}`, rack: "r", failureDomain: "f", slots: 1, connections: 1, speed };
    });
    return { name: "test", service: "s", region: "r", entries: [], workers, teams: [] };
}

function jobOf(index: number, at: number, ...runMs: number[]): PlannedJob {
    const tasks = runMs.map(ms => ({ runMs: ms, declaredMs: ms, repeatable: false }));
    return { index, at, team: "t", jobClass: JobClass.Small, tasks };
}

describe("IdealQueue", () => {
    describe("placement", () => {
        it("guards against giving work to a slow slot while a faster one is free", () => {
            const responses = new IdealQueue(profileOf(0.5, 2), QueueDiscipline.FirstCome).run([jobOf(0, 0, 100)]);
            assert.equal(responses.get(0), 50);
        });

        it("starts the longest task of a job first", () => {
            const responses = new IdealQueue(profileOf(1, 1), QueueDiscipline.FirstCome).run([
                jobOf(0, 0, 50, 50, 100),
            ]);
            assert.equal(responses.get(0), 100);
        });
    });

    describe("order", () => {
        it("serves the job with the least remaining work first when the discipline says so", () => {
            const jobs = [jobOf(0, 0, 100), jobOf(1, 1, 100), jobOf(2, 2, 10)];
            const responses = new IdealQueue(profileOf(1), QueueDiscipline.LeastRemaining).run(jobs);
            assert.deepEqual([...responses], [[0, 100], [2, 108], [1, 209]]);
        });
    });

    describe("properties", () => {
        it("guards against an ideal below the longest task at the highest speed", () => {
            fc.assert(
                fc.property(fc.integer({ min: 1, max: 1000 }), seed => {
                    const profile = PROFILES["kotuku"]!;
                    const jobs = new Workload(profile, SCENARIOS["steady"]!, new SeededRandom(seed)).plan().slice(
                        0,
                        60,
                    );
                    const responses = new IdealQueue(profile, QueueDiscipline.LeastRemaining).run(jobs);
                    assert.equal(responses.size, jobs.length);
                    for (const job of jobs) {
                        const floor = Math.max(...job.tasks.map(task => task.runMs)) / 1.6;
                        assert.ok((responses.get(job.index) ?? 0) >= floor - 1e-6);
                    }
                }),
                { seed: 7, numRuns: 20 },
            );
        });
    });
});
