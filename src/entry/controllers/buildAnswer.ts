import type { Answer } from "../../common/job/Answer.js";
import { JobState } from "../../common/job/JobState.js";
import type { TaskAnswer } from "../../common/job/TaskAnswer.js";
import { Verdict } from "../../common/Verdict.js";
import type { TaskResult } from "./TaskResult.js";

/** Builds the final answer: complete with every output when every task is ok, otherwise failed without any output. */
export function buildAnswer(
    ticket: string,
    results: readonly (readonly [index: number, result: TaskResult])[],
    reason: Answer["reason"],
): Answer {
    const complete = reason === undefined && results.every(([, result]) => result.ok);
    const firstError = results.find(([, result]) => !result.ok)?.[1].error;
    return {
        ticket,
        state: complete ? JobState.Complete : JobState.Failed,
        verdict: verdictOf(results.map(([, result]) => result.verdict)),
        reason: complete ? undefined : reason ?? firstError,
        tasks: results.map(([index, result]) => toTaskAnswer(index, result, complete)),
    };
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
