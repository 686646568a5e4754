import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { CollectedRecords } from "./CollectedRecords.js";
import type { TaskResult } from "./TaskResult.js";
import { toTaskResult } from "./toTaskResult.js";

/**
 * Final result of one task from the records of a settled ticket. A refusal on record is final only with complete
 * records, because the issuer may have placed the task on another agent afterwards.
 */
export function resultFromRecords(settled: CollectedRecords, task: number): TaskResult {
    const outcome = settled.outcomes.get(task);
    const retriedElsewhere = outcome?.verdict === Verdict.NotRun && !settled.complete;
    if (outcome !== undefined && !retriedElsewhere) {
        return toTaskResult(outcome);
    }
    if (outcome === undefined && settled.outcomes.has(task)) {
        const message = "the task was started; whether it ended is not known";
        return { ok: false, verdict: Verdict.MayHaveRun, error: { code: FaultCode.AgentLost, message } };
    }
    if (settled.complete) {
        const message = "the issuer was lost before it started the task";
        return { ok: false, verdict: Verdict.NotRun, error: { code: FaultCode.IssuerLost, message } };
    }
    const message = "an agent that may have had the task has no records";
    return { ok: false, verdict: Verdict.MayHaveRun, error: { code: FaultCode.RecordsLost, message } };
}
