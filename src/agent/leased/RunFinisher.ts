import type { RunResult } from "../../common/leased/RunResult.js";
import type { OrderedRun } from "./OrderedRun.js";

/** Ends runs and reports them to their entries. */
export interface RunFinisher {
    /** Handles a run of which a list of the current incarnation shows that it has ended or will never begin. */
    finish(run: OrderedRun, result: RunResult, reason: string): void;
    /**
     * Handles a run that is over without such a list: its incarnation may have ended with it. A task that has an
     * unanswered start stays here until the start is ruled out.
     */
    finishUnlisted(run: OrderedRun, result: RunResult, reason: string): void;
}
