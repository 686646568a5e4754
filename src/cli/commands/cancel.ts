import { callAnyEntry } from "../callAnyEntry.js";
import type { EntryOptions } from "../EntryOptions.js";
import type { ExitCode } from "../ExitCode.js";
import { printResult } from "../printResult.js";
import type { Terminal } from "../Terminal.js";

/** Cancels a job: queued tasks are dropped, running tasks are aborted. */
export async function cancel(terminal: Terminal, ticket: string, options: EntryOptions): Promise<ExitCode> {
    const result = await callAnyEntry(options, client => client.cancel(ticket));
    return printResult(terminal, result, options.json);
}
