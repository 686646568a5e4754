import { Verdict } from "../../common/Verdict.js";
import { isHopeless } from "./isHopeless.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { Patience } from "./Patience.js";

/** Time after its deadline at which a job that still runs is given up, for answers that are about to come. */
const OVERTIME_MS = 100;

interface Refusal {
    readonly verdict: Verdict;
    readonly reason: string;
}

/** Says why a job has to be refused at `now`; undefined while it may go on. */
export function findRefusal(
    job: LeasedJob,
    now: number,
    patience: Patience,
    agents: Parameters<typeof isHopeless>[1],
): Refusal | undefined {
    if (!job.offered && isHopeless(job, agents)) {
        return { verdict: Verdict.NotRun, reason: "no endpoint is large enough or has the label" };
    }
    if (!job.offered && now >= patience.refuseAt(job)) {
        return { verdict: Verdict.NotRun, reason: "no room in time" };
    }
    if (now >= job.deadlineAt + OVERTIME_MS) {
        return { verdict: job.offered ? Verdict.MayHaveRun : Verdict.NotRun, reason: "time is over" };
    }
    return undefined;
}
