import type { Log } from "../common/log/Log.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { CallDelivery } from "./CallDelivery.js";
import { createStallingProcess } from "./createStallingProcess.js";
import { EmulatedDeployment } from "./EmulatedDeployment.js";
import { FAULT_PROFILES } from "./FAULT_PROFILES.js";
import type { FaultProfile } from "./FaultProfile.js";
import { findOverlappingRuns } from "./findOverlappingRuns.js";
import { PlannedEnds } from "./PlannedEnds.js";
import { RandomStalls } from "./RandomStalls.js";
import type { TimeRange } from "./TimeRange.js";

const DURATION_MS = 6000;
const TASK_CPU = 6000;
const ENDPOINT_CPU = 32_000;

/**
 * Time after which a caller resubmits its job when it disconnected before the response, or when the job was refused with
 * another verdict than "not_run".
 */
const RESUBMIT_MS = 1300;

/** Callers submit again until this time after the last job; the simulation then waits for the last response. */
const RESUBMIT_PERIOD_MS = 3000;

/** Time that the last response may take beyond the callers' budget. */
const ANSWER_GRACE_MS = 1500;

/** Longest time from the restart of an endpoint to its first heartbeat. */
const MAX_HEARTBEAT_DELAY_MS = 500;

/** Longest time that a caller waits for an entry that is stalled. */
const MAX_PATIENCE_MS = 600;

/** Result of one simulation. */
interface SimulationResult {
    /** Two overlapping runs of the same task as JSON; undefined when there are none. */
    readonly overlap: string | undefined;
    readonly submitted: number;
    readonly completed: number;
    /** Number of jobs with a submission that got no response. */
    readonly open: number;
    /** Ids of jobs that ran although every submission was refused with verdict "not_run". */
    readonly falselyRefused: readonly string[];
}

/** One job with all its submissions by the caller. */
interface SimulatedJob {
    readonly id: string;
    /** Response to each submission: the verdict of a refusal, otherwise the kind of the outcome. */
    readonly verdicts: string[];
    /** Number of submissions without a response. */
    open: number;
}

/** Caller that waits for the response of an entry. */
interface SimulatedCaller {
    /** Makes it notice that the entry has ended. */
    readonly loseEntry: () => void;
    /** Makes it disconnect, unless it has its response. */
    readonly giveUp: () => void;
}

/** Simulates a few seconds of jobs and faults on the virtual clock. A seed always gives the same run. */
export async function simulateFaults(
    seed: number,
    profile: FaultProfile = FAULT_PROFILES.usual,
    log?: Log,
): Promise<SimulationResult> {
    const random = new SeededRandom(seed);
    const chance = (share: number) => share > 0 && random.next() < share;
    const pick = (count: number) => Math.floor(random.next() * count);
    const drawTime = ({ leastMs, mostMs }: TimeRange) => {
        return leastMs === mostMs ? leastMs : leastMs + random.next() * (mostMs - leastMs);
    };
    /** Remaining time in the current period for which the endpoint delays stops. */
    const remainingStopDelayMs = (endpoint: number) => {
        const phase = endpoint * profile.stopPeriodMs / profile.agents;
        return Math.max(0, profile.stopDelayMs - (deployment.clock.now() + phase) % profile.stopPeriodMs);
    };
    const deployment: EmulatedDeployment = new EmulatedDeployment({
        entries: profile.entries,
        agents: profile.agents,
        failureDomains: profile.failureDomains,
        seed,
        cpu: ENDPOINT_CPU,
        taskCpu: TASK_CPU,
        work: () => {
            const ms = chance(profile.longRunShare) ? drawTime(profile.longRun) : 20 + random.next() * 400;
            return { ms, how: chance(0.02) ? "failed" : "done" };
        },
        deliveryOf: (call, _task, endpoint) => {
            if (call === "stop" && remainingStopDelayMs(endpoint) > 0) {
                return CallDelivery.Delayed;
            }
            const { faultyCallShare, faultyDeliveries } = profile;
            return chance(faultyCallShare)
                ? faultyDeliveries[pick(faultyDeliveries.length)] ?? CallDelivery.Lost
                : CallDelivery.Answered;
        },
        deliveryDelayMs: (call, endpoint) =>
            (call === "stop" && remainingStopDelayMs(endpoint)) || drawTime(profile.deliveryDelay),
        acceptsCallsToEarlierIncarnations: profile.acceptsCallsToEarlierIncarnations,
        refusesWhileDown: profile.refusesWhileDown,
        resetsConnectionsAtCrash: profile.resetsConnectionsAtCrash,
        clockRate: profile.clockRate,
        ...(log === undefined ? {} : { log }),
        ...(profile.stalls === undefined ? {} : { createProcess: createStallingProcess(profile.stalls, random) }),
    });
    const jobs: SimulatedJob[] = [];
    let starts = 1;

    const callersOf = new Map<number, Set<SimulatedCaller>>();

    /** Makes a caller of an entry that stalls for `stallMs` disconnect meanwhile, or wait for its response. */
    const limitPatience = (caller: SimulatedCaller, stallMs: number): void => {
        if (chance(profile.stalls?.impatientShare ?? 0)) {
            deployment.clock.schedule(random.next() * stallMs, () => caller.giveUp());
        }
    };

    /** Submits a job to the entry, or to the next one that runs. */
    const submit = (job: SimulatedJob, wanted: number): void => {
        if (deployment.clock.now() > DURATION_MS + RESUBMIT_PERIOD_MS) {
            return;
        }
        let entry = wanted;
        while (!deployment.isEntryUp(entry)) {
            entry = (entry + 1) % profile.entries;
        }
        const caller = new AbortController();
        const callers = callersOf.get(entry) ?? new Set();
        callersOf.set(entry, callers);
        job.open += 1;
        let answered = false;
        let lostEntry = false;
        let disconnected = false;
        const recordVerdict = (verdict: string): void => {
            answered = true;
            job.open -= 1;
            job.verdicts.push(verdict);
            callers.delete(simulatedCaller);
        };
        const submitAgain = (): void => {
            deployment.clock.schedule(RESUBMIT_MS, () => submit(job, pick(profile.entries)));
        };
        const loseEntry = (): void => {
            lostEntry = true;
            recordVerdict("entry lost");
            if (!disconnected) {
                submitAgain();
            }
        };
        /** Closes the caller's connection before the response. */
        const disconnect = (): void => {
            if (!lostEntry && !disconnected) {
                disconnected = true;
                caller.abort();
                submitAgain();
            }
        };
        const giveUp = (): void => {
            if (!answered) {
                disconnect();
            }
        };
        const simulatedCaller = { loseEntry, giveUp };
        callers.add(simulatedCaller);
        const disconnects = chance(0.1);
        if (disconnects) {
            deployment.clock.schedule(random.next() * 300, disconnect);
        }
        if (deployment.isEntryStalled(entry)) {
            limitPatience(simulatedCaller, MAX_PATIENCE_MS);
        }
        void deployment.submit(entry, job.id, 1 + pick(4), 200, caller.signal, profile.budgetMs).then(
            outcome => {
                if (answered) {
                    return;
                }
                recordVerdict(outcome.kind === "refused" ? outcome.verdict : outcome.kind);
                if (!disconnects && !disconnected && outcome.kind === "refused" && outcome.verdict !== "not_run") {
                    submitAgain();
                }
            },
        );
    };
    const plannedEnds = profile.plannedEnds && new PlannedEnds(
        deployment,
        profile.plannedEnds,
        random,
        () => starts += 1,
        entry => [...callersOf.get(entry) ?? []].forEach(caller => caller.loseEntry()),
    );
    const stalls = profile.stalls && new RandomStalls(
        deployment,
        profile.stalls,
        random,
        (entry, ms) => [...callersOf.get(entry) ?? []].forEach(caller => limitPatience(caller, ms)),
    );
    /** Partitions a link, closes a connection, or crashes an endpoint and restarts it later. */
    const injectFault = (): void => {
        const agent = pick(profile.agents);
        const endpoint = deployment.endpoints[agent];
        const kind = pick(3);
        if (kind === 0) {
            deployment.partition(
                pick(profile.entries),
                agent,
                (["to_agent", "to_entry", "both"] as const)[pick(3)] ?? "both",
            );
        }
        else if (kind === 1) {
            deployment.links.filter(link => link.agent === agent)[0]?.atAgent.close("reset");
        }
        else if (endpoint !== undefined && plannedEnds?.isLeaving(agent) !== true) {
            endpoint.crash();
            deployment.clock.schedule(drawTime(profile.downtime), () => {
                starts += 1;
                const bornMs = starts;
                endpoint.restart(bornMs);
                deployment.clock.schedule(random.next() * MAX_HEARTBEAT_DELAY_MS, () => {
                    deployment.deliverHeartbeat(agent, bornMs, 1);
                });
            });
        }
    };
    await deployment.advance(400);
    for (let passed = 0; passed < DURATION_MS; passed += profile.submitEveryMs) {
        const id = (seed * 100_000 + jobs.length).toString(16).padStart(16, "0");
        const job = { id, verdicts: [], open: 0 };
        jobs.push(job);
        submit(job, pick(profile.entries));
        if (chance(profile.faultShare)) {
            injectFault();
        }
        if (plannedEnds !== undefined && chance(profile.plannedEnds?.share ?? 0)) {
            plannedEnds.begin();
        }
        if (stalls !== undefined && chance(profile.stalls?.share ?? 0)) {
            stalls.begin();
        }
        await deployment.advance(profile.submitEveryMs);
    }
    await deployment.advance(RESUBMIT_PERIOD_MS + profile.budgetMs + ANSWER_GRACE_MS);
    const overlap = findOverlappingRuns(deployment.records);
    const ran = new Set(deployment.records.map(record => record.task.split(".")[0] ?? ""));
    return {
        overlap: overlap && JSON.stringify(overlap),
        submitted: jobs.length,
        completed: jobs.filter(({ verdicts }) => verdicts.includes("completed")).length,
        open: jobs.filter(({ open }) => open > 0).length,
        falselyRefused: jobs
            .filter(({ id, verdicts }) => ran.has(id) && verdicts.every(verdict => verdict === "not_run"))
            .map(({ id }) => id),
    };
}
