import { Verdict } from "../common/Verdict.js";
import { idealResponses } from "./idealResponses.js";
import { InjectedFault } from "./InjectedFault.js";
import { JobClass } from "./JobClass.js";
import { JobOutcome } from "./JobOutcome.js";
import type { JobResult } from "./JobResult.js";
import { judgeTargets } from "./judgeTargets.js";
import type { LoadRun } from "./LoadRun.js";
import type { Report } from "./Report.js";
import { reportClasses } from "./reportClasses.js";
import { reportPeak } from "./reportPeak.js";
import { summarize } from "./summarize.js";

/** With a 99th percentile of its lag above this, the load tool itself limited the load. */
const MAX_LAG_P99_MS = 20;

/** Messages that each hop needs: start and outcome of a task, or call and reply of a relayed job. */
const NECESSARY_MESSAGES_PER_HOP = 2;

/** Evaluates a load run: compares it with the ideal queue and with the stated targets. */
export function createReport(run: LoadRun): Report {
    const counted = run.results.filter(result => result.job.at >= run.scenario.warmupMs);
    const ideal = idealResponses(run.profile, run.results.map(result => result.job));
    const lag = summarize(counted.map(result => result.lagMs));
    const report = {
        profile: run.profile.name,
        scenario: run.scenario.name,
        scheduler: run.scheduler,
        seed: run.seed,
        jobs: countJobs(run.results),
        codes: countCodes(run.results),
        tasks: countTasks(run),
        disturbedMs: disturbedMs(run),
        classes: reportClasses(counted, ideal),
        shortWait: summarize(counted.filter(isCompleteShort).map(waitOf)),
        messages: reportMessages(run),
        crest: reportPeak(run),
        lag,
        toolWasLimit: lag.p99 > MAX_LAG_P99_MS,
    };
    return { ...report, targets: judgeTargets(run, report) };
}

function countJobs(results: readonly JobResult[]): Report["jobs"] {
    const count = (outcome: JobOutcome) => results.filter(result => result.outcome === outcome).length;
    return {
        planned: results.length,
        complete: count(JobOutcome.Complete),
        failed: count(JobOutcome.Failed),
        refused: count(JobOutcome.Refused),
        lost: count(JobOutcome.Lost),
    };
}

function countCodes(results: readonly JobResult[]): Record<string, number> {
    const codes: Record<string, number> = {};
    for (const { code } of results) {
        if (code !== undefined) {
            codes[code] = (codes[code] ?? 0) + 1;
        }
    }
    return codes;
}

function countTasks(run: LoadRun): Report["tasks"] {
    const verdicts = run.results.flatMap(result => result.verdicts);
    const executed = run.results.reduce((sum, result) => sum + result.executions.length, 0);
    return {
        planned: run.results.reduce((sum, result) => sum + result.job.tasks.length, 0),
        ran: executed + verdicts.filter(verdict => verdict === Verdict.Ran).length,
        mayHaveRun: verdicts.filter(verdict => verdict === Verdict.MayHaveRun).length,
        duplicates: run.repeated?.duplicates,
        retried: run.repeated?.retried,
        lostToFault: run.lostToFault,
    };
}

function disturbedMs({ scenario, results }: LoadRun): number | undefined {
    if (scenario.injection === InjectedFault.None) {
        return undefined;
    }
    const disturbed = results
        .filter(result => result.outcome !== JobOutcome.Complete && result.job.at >= scenario.injectAtMs)
        .map(result => result.job.at - scenario.injectAtMs);
    return Math.max(0, ...disturbed);
}

function isCompleteShort(result: JobResult): boolean {
    return result.outcome === JobOutcome.Complete && result.job.jobClass === JobClass.ShortSingle;
}

function waitOf(result: JobResult): number {
    return result.responseMs - (result.executions[0]?.runMs ?? 0);
}

function reportMessages(run: LoadRun): Report["messages"] {
    const total = [...run.messages.values()].reduce((sum, count) => sum + count, 0);
    const started = run.messages.get("start") ?? 0;
    const necessary = NECESSARY_MESSAGES_PER_HOP * (started + run.relayedJobs);
    return {
        perTask: started === 0 ? 0 : total / started,
        beyondNecessaryPerTask: started === 0 ? 0 : (total - necessary) / started,
        relayedJobs: run.relayedJobs,
        byKind: Object.fromEntries(run.messages),
    };
}
