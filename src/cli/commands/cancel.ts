import type { EntryOptions } from "../EntryOptions.js";
import type { ExitCode } from "../ExitCode.js";
import { firstAnswer } from "../firstAnswer.js";
import { printResult } from "../printResult.js";
import type { Terminal } from "../Terminal.js";

/** Cancels a job: its queued tasks are not run, its running tasks are aborted. */
export async function cancel(terminal: Terminal, ticket: string, options: EntryOptions): Promise<ExitCode> {
    const result = await firstAnswer(options, client => client.cancel(ticket));
    return printResult(terminal, result, options.json);
}
