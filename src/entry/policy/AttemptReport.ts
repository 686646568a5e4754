import type { Verdict } from "../../common/Verdict.js";

/** End of an attempt as reported to the scheduler. */
export interface AttemptReport {
    readonly job: string;
    readonly task: number;
    readonly attempt: number;
    readonly agent: string;
    readonly verdict: Verdict;
    readonly ok: boolean;
    /** Run time at the endpoint in milliseconds; 0 when nothing ran. */
    readonly runMs: number;
    /** False when the agent refused the start for a reason that says nothing about its health, such as draining. */
    readonly countsForHealth: boolean;
}
