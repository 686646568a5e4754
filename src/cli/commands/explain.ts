import { callAnyEntry } from "../callAnyEntry.js";
import { describeJobHistory } from "../describeJobHistory.js";
import type { EntryOptions } from "../EntryOptions.js";
import type { ExitCode } from "../ExitCode.js";
import { printResult } from "../printResult.js";
import type { Terminal } from "../Terminal.js";

/** Prints the history of a job and its tasks. */
export async function explain(terminal: Terminal, ticket: string, options: EntryOptions): Promise<ExitCode> {
    const result = await callAnyEntry(options, client => client.jobHistory(ticket));
    return printResult(terminal, result, options.json, describeJobHistory);
}
