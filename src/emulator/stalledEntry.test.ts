import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EmulatedDeployment } from "./EmulatedDeployment.js";
import { findOverlappingRuns } from "./findOverlappingRuns.js";
import type { RunRecord } from "./RunRecord.js";
import { StallingProcess } from "./StallingProcess.js";

const ID = "00000000000000aa";

/** Job that has completed before the stall; the entry stalls when it reads the end of its caller's connection. */
const EARLIER_ID = "00000000000000bb";
const EARLIER_RUN_MS = 20;

/** A task takes the whole capacity of an endpoint, so a second run of it can begin at the other endpoint only. */
const CPU = 6000;

/** The run at the second entry lasts until after the first entry has resumed. */
const RUN_MS = 1500;

/** Time until endpoints, agents and entries know each other; then the first entry stalls. */
const WARMUP_MS = 500;

/** Shorter than the silence after which agents close their connections to the entry. */
const STALL_MS = 1700;

/** Time from the start of the stall to the end of the caller's connection. */
const DISCONNECT_MS = 150;

/** Time after which a caller that has disconnected submits its job again. */
const RESUBMIT_MS = 1300;

const BUDGET_MS = 10_000;

/** Longer than the time from the submission of a job to its placement: a process that reads a backlog takes as long. */
const TURN_MS = 3;

/**
 * Simulates a caller that disconnects from entry 0 while it stalls, and submits its job again at entry 1, which has not
 * finished it when entry 0 resumes. No call, message or response is lost or late.
 */
async function simulateStalledEntry(submitMs: number): Promise<readonly RunRecord[]> {
    const deployment = new EmulatedDeployment({
        entries: 2,
        agents: 2,
        failureDomains: 2,
        seed: 1,
        cpu: CPU,
        taskCpu: CPU,
        work: task => ({ ms: task.startsWith(ID) ? RUN_MS : EARLIER_RUN_MS, how: "done" }),
        createProcess: time => new StallingProcess(time, () => TURN_MS),
    });
    const caller = new AbortController();
    const earlierCaller = new AbortController();
    const submit = (entry: number, id: string, signal?: AbortSignal): void => {
        void deployment.submit(entry, id, 1, RUN_MS, signal, BUDGET_MS);
    };
    const steps = [
        { atMs: WARMUP_MS - 100, act: () => submit(0, EARLIER_ID, earlierCaller.signal) },
        { atMs: submitMs, act: () => submit(0, ID, caller.signal) },
        { atMs: WARMUP_MS, act: () => deployment.stallEntry(0, STALL_MS, 0) },
        { atMs: WARMUP_MS, act: () => earlierCaller.abort() },
        { atMs: WARMUP_MS + DISCONNECT_MS, act: () => caller.abort() },
        { atMs: WARMUP_MS + DISCONNECT_MS + RESUBMIT_MS, act: () => submit(1, ID) },
    ];
    for (let nowMs = 0; nowMs < WARMUP_MS + STALL_MS + 2 * RUN_MS; nowMs += 1) {
        steps.filter(({ atMs }) => atMs === nowMs).forEach(({ act }) => act());
        await deployment.advance(1);
    }
    return deployment.records.filter(({ task }) => task.startsWith(ID));
}

// Case 1 of docs/incidents/2026-12-04-two-owners.md: two runs of a task at once, at two endpoints in two failure domains,
// started by two agents, with no lost or late call.
describe("an entry that stalls while its caller submits the job again at another entry (issue 25, case 1)", () => {
    // The agent stops the run when the entry lease ends. When the entry resumes, it reads the end of that run and fresh
    // load reports one turn of its event loop before the end of the caller's connection is reported to it.
    it("guards against a second run, at another endpoint, of a task that came back during the stall", async () => {
        const records = await simulateStalledEntry(WARMUP_MS - 20);
        assert.equal(findOverlappingRuns(records), undefined);
        assert.deepEqual(records.map(({ how }) => how), ["stopped", "done"]);
    });

    // The entry reads the submission and the end of the connection together. The emulated process checks the connection
    // as createCallerHandler does, whose test guards against the same with sockets. This check and the pause of placement
    // after a stall each suffice here.
    it("guards against a second run, at another endpoint, of a job that was submitted during the stall", async () => {
        const records = await simulateStalledEntry(WARMUP_MS + 20);
        assert.equal(findOverlappingRuns(records), undefined);
        assert.deepEqual(records.map(({ how }) => how), ["done"]);
    });
});
