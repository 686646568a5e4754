import { capacityOf } from "./capacityOf.js";
import { fairShares } from "./fairShares.js";
import { idealResponses } from "./idealResponses.js";
import { JobOutcome } from "./JobOutcome.js";
import type { JobResult } from "./JobResult.js";
import type { LoadRun } from "./LoadRun.js";
import type { PeakReport } from "./PeakReport.js";
import { PeakWindow } from "./PeakWindow.js";
import { summarize } from "./summarize.js";

/** Time after the end of the peak from which response times must be back to normal. */
const RECOVERY_MS = 3000;

/** Reports on the time during and after the peak; undefined when the scenario has no peak. */
export function reportPeak(run: LoadRun): PeakReport | undefined {
    const peak = PeakWindow.find(run.scenario);
    if (peak === undefined) {
        return undefined;
    }
    const capacityMs = capacityOf(run.profile) * (peak.end - peak.start);
    const done = workByTeam(run, peak);
    const fair = fairShares(demandByTeam(run, peak), capacityMs);
    const refused = run.results.filter(result => result.outcome === JobOutcome.Refused);
    return {
        goodputShare: sumOf(done.values()) / capacityMs,
        refusal: summarize(refused.map(result => result.answerMs)),
        recoveredP99Ratio: recoveredRatio(run, peak),
        teams: [...fair].map(([team, share]) => ({ team, shareOfFair: (done.get(team) ?? 0) / share })),
    };
}

/** Returns the nominal work in milliseconds that ran during the peak for jobs that completed, by team. */
function workByTeam(run: LoadRun, peak: PeakWindow): ReadonlyMap<string, number> {
    const work = new Map<string, number>();
    for (const result of run.results) {
        const done = sumOf(result.executions.map(execution => {
            const from = execution.startedAt - run.startedAt;
            const nominalMs = result.job.tasks[execution.task]?.runMs ?? 0;
            return nominalMs * peak.overlap(from, from + execution.runMs) / Math.max(1, execution.runMs);
        }));
        work.set(result.job.team, (work.get(result.job.team) ?? 0) + done);
    }
    return work;
}

function demandByTeam(run: LoadRun, peak: PeakWindow): ReadonlyMap<string, number> {
    const demand = new Map<string, number>();
    for (const { job } of run.results.filter(result => peak.contains(result.job.at))) {
        const work = sumOf(job.tasks.map(task => task.runMs));
        demand.set(job.team, (demand.get(job.team) ?? 0) + work);
    }
    return demand;
}

function recoveredRatio(run: LoadRun, peak: PeakWindow): number {
    const outside = run.results.filter(result => !peak.contains(result.job.at));
    const ideal = idealResponses(run.profile, outside.map(result => result.job));
    const later = outside.filter(result => result.job.at >= peak.end + RECOVERY_MS);
    const response = summarize(later.map(result => responseOf(result)));
    const best = summarize(later.map(result => ideal.get(result.job.index) ?? 0));
    return response.p99 / best.p99;
}

/** A job that did not complete after the peak counts with a response time of one hour, as if infinitely late. */
function responseOf(result: JobResult): number {
    const notRecoveredMs = 3_600_000;
    return result.outcome === JobOutcome.Complete ? result.responseMs : notRecoveredMs;
}

function sumOf(values: Iterable<number>): number {
    let sum = 0;
    for (const value of values) {
        sum += value;
    }
    return sum;
}
