import { InjectedFault } from "./InjectedFault.js";
import type { LoadRun } from "./LoadRun.js";
import type { Report } from "./Report.js";
import type { Target } from "./Target.js";

const MEAN_RATIO_LIMIT = 1.15;
const P99_RATIO_LIMIT = 2;
const EXTRA_MESSAGES_LIMIT = 0.2;
const SHORT_WAIT_LIMIT_MS = 100;
const GOODPUT_LIMIT = 0.9;
const REFUSAL_LIMIT_MS = 50;
const FAIR_SHARE_LIMIT = 0.9;
const LOST_TO_FAULT_LIMIT = 0.01;

type Measured = Omit<Report, "targets">;

/** Compares a report with the targets that apply to its scenario; docs/design.md, section 6, states them. */
export function judgeTargets(run: LoadRun, report: Measured): Target[] {
    return [
        ...judgeSafety(report),
        ...judgeSteady(run, report),
        ...judgePeak(report),
        ...judgeFaults(run, report),
    ];
}

function atMost(name: string, limit: number, value: number): Target {
    return { name, limit, value, met: value <= limit };
}

function atLeast(name: string, limit: number, value: number): Target {
    return { name, limit, value, met: value >= limit };
}

function judgeSafety(report: Measured): Target[] {
    const lost = atMost("lost jobs", 0, report.jobs.lost);
    const { duplicates } = report.tasks;
    return duplicates === undefined ? [lost] : [lost, atMost("tasks started twice", 0, duplicates)];
}

function judgeSteady(run: LoadRun, report: Measured): Target[] {
    const all = report.classes.find(entry => entry.name === "all");
    if (all === undefined || report.crest !== undefined || run.scenario.injection !== InjectedFault.None) {
        return [];
    }
    return [
        atMost("mean response over ideal", MEAN_RATIO_LIMIT, all.meanRatio),
        atMost("p99 response over ideal", P99_RATIO_LIMIT, all.p99Ratio),
        atMost("messages per task beyond two per hop", EXTRA_MESSAGES_LIMIT, report.messages.beyondNecessaryPerTask),
        atMost("p99 wait of short tasks in ms", SHORT_WAIT_LIMIT_MS, report.shortWait.p99),
    ];
}

function judgePeak(report: Measured): Target[] {
    const { crest } = report;
    if (crest === undefined) {
        return [];
    }
    return [
        atLeast("goodput over capacity in the peak", GOODPUT_LIMIT, crest.goodputShare),
        atMost("p99 time to a refusal in ms", REFUSAL_LIMIT_MS, crest.refusal.p99),
        atMost("p99 over ideal from 3 s after the peak", P99_RATIO_LIMIT, crest.recoveredP99Ratio),
        ...crest.teams.map(team => atLeast(`fair share of ${team.team}`, FAIR_SHARE_LIMIT, team.shareOfFair)),
    ];
}

function judgeFaults(run: LoadRun, report: Measured): Target[] {
    const { lostToFault, ran } = report.tasks;
    if (run.scenario.injection !== InjectedFault.FailingWorker || lostToFault === undefined) {
        return [];
    }
    return [
        atMost("share of tasks lost to the sick worker after its first 10", LOST_TO_FAULT_LIMIT, lostToFault / ran),
    ];
}
