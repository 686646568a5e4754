import type { JobHistoryBody } from "./JobHistoryBody.js";

/** Formats the history of a job as text, one line per step, with times relative to the first step. */
export function describeJobHistory(history: JobHistoryBody): readonly string[] {
    const start = history.steps[0]?.at ?? 0;
    return history.steps.map(step => {
        const task = step.task === undefined ? "" : ` task ${step.task}`;
        const attempt = step.attempt === undefined ? "" : ` attempt ${step.attempt}`;
        const agent = step.agent === undefined ? "" : ` on ${step.agent}`;
        const detail = step.detail === undefined ? "" : ` (${step.detail})`;
        const at = `+${(step.at - start).toFixed(0)} ms`.padStart(10);
        return `${at} ${step.source} [${step.event}] ${step.text}${task}${attempt}${agent}${detail}`;
    });
}
