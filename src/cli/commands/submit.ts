import { Left } from "purify-ts/Either";
import { parseWithSchema } from "../../common/settings/parseWithSchema.js";
import { SystemClock } from "../../common/SystemClock.js";
import { describeAnswer } from "../describeAnswer.js";
import { describeError } from "../describeError.js";
import { EntryClient } from "../EntryClient.js";
import type { EntryOptions } from "../EntryOptions.js";
import { ExitCode } from "../ExitCode.js";
import { Submission } from "../Submission.js";
import { taskList } from "../taskList.js";
import type { Terminal } from "../Terminal.js";

/** Options of `submit`. */
interface SubmitOptions extends EntryOptions {
    readonly service: string;
    readonly deadlineMs: number;
    readonly onFailure?: string;
    /** Ticket of an earlier submission to resubmit. */
    readonly ticket?: string;
}

/** Submits a file of tasks as one job and prints its answer. */
export async function submit(terminal: Terminal, path: string, options: SubmitOptions): Promise<ExitCode> {
    const text = await terminal.readText(path).then(value => ({ value }), (error: unknown) => ({ error }));
    const tasks = "value" in text
        ? parseWithSchema(taskList, text.value)
        : Left([`cannot read tasks from ${path}: ${(text.error as Error).message}`]);
    return tasks.caseOf({
        Left: faults => {
            faults.forEach(fault => terminal.printError(fault));
            return Promise.resolve<ExitCode>(ExitCode.Usage);
        },
        Right: list => run(terminal, list, options),
    });
}

async function run(terminal: Terminal, tasks: readonly unknown[], options: SubmitOptions): Promise<ExitCode> {
    const clients = options.entry.map(url => new EntryClient(url, options.token));
    const submission = new Submission(clients, new SystemClock(), line => terminal.printError(line));
    const { service, deadlineMs, onFailure, json } = options;
    const result = await submission.run({ service, deadlineMs, tasks, onFailure }, options.ticket);
    return result.caseOf({
        Left: error => {
            terminal.printError(describeError(error));
            return ExitCode.Failure;
        },
        Right: ({ ticket, answer }) => {
            const lines = json === true
                ? [JSON.stringify({ ...answer, ticket })]
                : [`ticket ${ticket}`, ...describeAnswer(answer)];
            lines.forEach(line => terminal.print(line));
            return answer.state === "complete" ? ExitCode.Success : ExitCode.Failure;
        },
    });
}
