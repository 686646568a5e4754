import { callAnyEntry } from "../callAnyEntry.js";
import type { EntryOptions } from "../EntryOptions.js";
import type { ExitCode } from "../ExitCode.js";
import { printResult } from "../printResult.js";
import type { Terminal } from "../Terminal.js";

/** Prints the configuration, or the section of one team. */
export async function getConfiguration(
    terminal: Terminal,
    team: string | undefined,
    options: EntryOptions,
): Promise<ExitCode> {
    const result = await callAnyEntry(
        options,
        client => team === undefined ? client.configuration() : client.section(team),
    );
    return printResult(terminal, result, options.json);
}
