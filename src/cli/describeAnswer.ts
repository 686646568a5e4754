import type { AnswerBody } from "./AnswerBody.js";

const MAX_OUTPUT_CHARS = 80;

/** Formats a job answer as text: a line with its state, then one line per task. */
export function describeAnswer(answer: AnswerBody): readonly string[] {
    const reason = answer.reason === undefined ? "" : `, ${answer.reason.code}: ${answer.reason.message}`;
    const tasks = answer.progress === undefined
        ? `${answer.tasks.length} tasks`
        : `${answer.progress.ended} of ${answer.progress.tasks} tasks ended`;
    return [
        `${answer.state}, verdict ${answer.verdict}, ${tasks}${reason}`,
        ...answer.tasks.map(describeTask),
    ];
}

function describeTask(task: AnswerBody["tasks"][number]): string {
    const output = task.output === undefined ? "" : ` ${JSON.stringify(task.output).slice(0, MAX_OUTPUT_CHARS)}`;
    const error = task.error === undefined ? "" : ` ${task.error.code}: ${task.error.message}`;
    return `  task ${task.index}: ${task.verdict}${output}${error}`;
}
