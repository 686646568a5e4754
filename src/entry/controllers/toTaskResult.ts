import { FaultCode } from "../../common/FaultCode.js";
import type { Outcome } from "../../common/wire/Outcome.js";
import type { TaskResult } from "./TaskResult.js";

/** Converts the outcome of a task's last attempt into the result of the task. */
export function toTaskResult(outcome: Outcome): TaskResult {
    if (outcome.ok) {
        return { ok: true, verdict: outcome.verdict, output: outcome.output };
    }
    const error = outcome.error ?? { code: FaultCode.EndpointFailed, message: "the endpoint reported a failure" };
    return { ok: false, verdict: outcome.verdict, error };
}
