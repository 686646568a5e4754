import { FaultCode } from "../../common/FaultCode.js";
import type { JobAnswer } from "../../common/job/JobAnswer.js";
import { JobState } from "../../common/job/JobState.js";
import type { TaskAnswer } from "../../common/job/TaskAnswer.js";
import { Verdict } from "../../common/Verdict.js";
import type { TaskResult } from "./TaskResult.js";

/** Maximum size of all outputs of a job together, as JSON text; a relayed answer must fit into one frame of 4 MiB. */
const MAX_OUTPUT_BYTES = 3 * 1024 * 1024;

/**
 * Builds the final answer: complete with every output when every task is ok and the outputs together are within the
 * limit, otherwise failed without any output.
 */
export function buildAnswer(
    ticket: string,
    results: readonly (readonly [index: number, result: TaskResult])[],
    reason: JobAnswer["reason"],
): JobAnswer {
    const succeeded = reason === undefined && results.every(([, result]) => result.ok);
    const outputBytes = succeeded ? sizeOf(results) : 0;
    const complete = succeeded && outputBytes <= MAX_OUTPUT_BYTES;
    const firstError = succeeded ? tooLarge(outputBytes) : results.find(([, result]) => !result.ok)?.[1].error;
    return {
        ticket,
        state: complete ? JobState.Complete : JobState.Failed,
        verdict: verdictOf(results.map(([, result]) => result.verdict)),
        reason: complete ? undefined : reason ?? firstError,
        tasks: results.map(([index, result]) => toTaskAnswer(index, result, complete)),
    };
}

function sizeOf(results: readonly (readonly [index: number, result: TaskResult])[]): number {
    return results.reduce((bytes, [, { output }]) => {
        return bytes + (output === undefined ? 0 : Buffer.byteLength(JSON.stringify(output)));
    }, 0);
}

function tooLarge(bytes: number): JobAnswer["reason"] {
    const message = `the outputs of the job have ${bytes} bytes, at most ${MAX_OUTPUT_BYTES} bytes are allowed`;
    return { code: FaultCode.TooLarge, message };
}

function toTaskAnswer(index: number, result: TaskResult, complete: boolean): TaskAnswer {
    return complete
        ? { index, verdict: result.verdict, output: result.output }
        : { index, verdict: result.verdict, ...result.error === undefined ? {} : { error: result.error } };
}

function verdictOf(verdicts: readonly Verdict[]): Verdict {
    if (verdicts.every(verdict => verdict === Verdict.NotRun)) {
        return Verdict.NotRun;
    }
    return verdicts.every(verdict => verdict === Verdict.Ran) ? Verdict.Ran : Verdict.MayHaveRun;
}
