import { callAnyEntry } from "../callAnyEntry.js";
import type { EntryOptions } from "../EntryOptions.js";
import type { ExitCode } from "../ExitCode.js";
import { printResult } from "../printResult.js";
import type { Terminal } from "../Terminal.js";

/** Prints which configuration revision is in force at each member. */
export async function showConfigurationStatus(terminal: Terminal, options: EntryOptions): Promise<ExitCode> {
    const result = await callAnyEntry(options, client => client.configurationStatus());
    return printResult(terminal, result, options.json);
}
