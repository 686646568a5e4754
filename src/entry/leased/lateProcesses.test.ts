import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../common/SeededRandom.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";
import type { RunRecord } from "../../emulator/RunRecord.js";
import { StallingProcess } from "../../emulator/StallingProcess.js";
import { CallbackLog } from "../../test/CallbackLog.js";
import { EntryLeaseEvent } from "./EntryLeaseEvent.js";

const ID = "00000000000000aa";
const RUN_MS = 4000;
const TASK_CPU = 6000;

const SLOW_SEEDS = 20;

/** Time until endpoints, agents and entries know each other; then the job is submitted to entry 0. */
const WARMUP_MS = 500;

/** Time from the end of the caller's connection until it submits its job again, to entry 1. */
const RESUBMIT_MS = 1300;

/** Time before the second submission at which endpoint 1 begins to accept tasks. */
const ACCEPTS_BEFORE_MS = 50;

/** Time after the second submission in which its run begins. */
const SECOND_RUN_WITHIN_MS = 300;

/** Time at which the connection of the first caller ends. */
const LEAVES_AT_MS = WARMUP_MS + 400;

/** Processes in the order in which a deployment creates them: two entries, then two agents. */
const ENTRY = 0;
const AGENT = 2;

/** Process that is late from some time on: each turn of its event loop lasts for some hundred milliseconds. */
interface Lateness {
    readonly turnMs: number;
    /** Time from the end of the caller's connection until the process becomes late; negative before it. */
    readonly fromMs: number;
}

interface LateProcesses {
    readonly entry: Lateness;
    readonly agent: Lateness;
    /** Whether messages of entry 0 to agent 0 are lost once the entry has read the end of the caller's connection. */
    readonly losesAbort: boolean;
}

const PROMPT: Lateness = { turnMs: 0, fromMs: 0 };

/** The entry becomes late just before the caller leaves, so it reads that up to one turn later. */
const LATE_ENTRIES: readonly Lateness[] = [-10, -100].flatMap(fromMs => [
    { turnMs: 400, fromMs },
    { turnMs: 500, fromMs },
]);

/** The agent becomes late just before it would read the abort, or before it would stop the runs of an expired lease. */
const LATE_AGENTS: readonly Lateness[] = [700, 800, 900, 1000, 1200].map(fromMs => ({ turnMs: 600, fromMs }));

const CASES: Readonly<Record<string, readonly LateProcesses[]>> = {
    "an entry and an agent that are late": LATE_ENTRIES.flatMap(entry =>
        LATE_AGENTS.map(agent => ({ entry, agent, losesAbort: false }))
    ),
    "a late entry whose abort is lost": LATE_ENTRIES.map(entry => ({ entry, agent: PROMPT, losesAbort: true })),
    "a late entry whose abort is lost, and a late agent": LATE_ENTRIES.flatMap(entry =>
        LATE_AGENTS.map(agent => ({ entry, agent, losesAbort: true }))
    ),
};

/**
 * Runs a task of entry 0 at agent 0 until its caller leaves and submits it again to entry 1, which starts it at endpoint 1
 * because endpoint 0 drains. Returns its runs.
 */
async function simulate({ entry, agent, losesAbort }: LateProcesses): Promise<readonly RunRecord[]> {
    const lateness = new Map([[ENTRY, entry], [AGENT, agent]]);
    let created = 0;
    const deployment: EmulatedDeployment = new EmulatedDeployment({
        entries: 2,
        agents: 2,
        seed: 1,
        cpu: 10 * TASK_CPU,
        taskCpu: TASK_CPU,
        clockRate: 0.98,
        work: () => ({ ms: RUN_MS, how: "done" }),
        createProcess: time => {
            const { turnMs, fromMs } = lateness.get(created) ?? PROMPT;
            created += 1;
            return new StallingProcess(time, () => time.now() >= LEAVES_AT_MS + fromMs ? turnMs : 0);
        },
        log: new CallbackLog(event => {
            if (losesAbort && event === EntryLeaseEvent.CallerDisconnected) {
                deployment.partition(0, 0, "to_agent");
            }
        }),
    });
    deployment.deliverHeartbeat(1, 1, 2, true);
    await deployment.advance(WARMUP_MS);
    const caller = new AbortController();
    void deployment.submit(0, ID, 1, RUN_MS, caller.signal, 2 * RUN_MS);
    await deployment.advance(LEAVES_AT_MS - WARMUP_MS);
    caller.abort();
    deployment.deliverHeartbeat(0, 1, 2, true);
    await deployment.advance(RESUBMIT_MS - ACCEPTS_BEFORE_MS);
    deployment.deliverHeartbeat(1, 1, 3);
    await deployment.advance(ACCEPTS_BEFORE_MS);
    void deployment.submit(1, ID, 1, RUN_MS, undefined, 2 * RUN_MS);
    await deployment.advance(SECOND_RUN_WITHIN_MS);
    return deployment.records;
}

/**
 * Runs a task in a deployment of one entry and one agent. Each turn of their event loops lasts for a random time of up
 * to `mostMs`, from the start of the simulation. Returns the runs of the task.
 */
async function simulateSlowTurns(mostMs: number, seed: number): Promise<readonly RunRecord[]> {
    const random = new SeededRandom(seed);
    const deployment: EmulatedDeployment = new EmulatedDeployment({
        entries: 1,
        agents: 1,
        seed,
        cpu: 10 * TASK_CPU,
        taskCpu: TASK_CPU,
        clockRate: 0.98,
        work: () => ({ ms: RUN_MS, how: "done" }),
        createProcess: time => new StallingProcess(time, () => random.next() * mostMs),
    });
    await deployment.advance(2 * WARMUP_MS);
    void deployment.submit(0, ID, 1, RUN_MS, undefined, 2 * RUN_MS);
    await deployment.advance(RUN_MS + WARMUP_MS);
    return deployment.records;
}

// An entry lease begins at the time up to which the entry has read its input, so an entry that has not read yet that a
// caller has disconnected does not prolong the run of its job.
describe("processes that are always late", () => {
    for (const [name, cases] of Object.entries(CASES)) {
        it(`guards against a run that outlives its caller until the job is submitted again: ${name}`, async () => {
            for (const processes of cases) {
                const runs = await simulate(processes);
                const trace = JSON.stringify({ processes, runs });
                assert.equal(findOverlappingRuns(runs), undefined, trace);
                assert.ok(runs.length === 2 && (runs[0]?.to ?? Infinity) <= LEAVES_AT_MS + RESUBMIT_MS, trace);
            }
        });
    }
});

describe("processes whose turns last for up to 100 ms", () => {
    it("guards against a run that is stopped because its entry lease is not renewed in time", async () => {
        for (let seed = 1; seed <= SLOW_SEEDS; seed += 1) {
            const runs = await simulateSlowTurns(100, seed);
            assert.deepEqual(runs.map(({ how }) => how), ["done"], `seed ${seed}: ${JSON.stringify(runs)}`);
        }
    });
});
