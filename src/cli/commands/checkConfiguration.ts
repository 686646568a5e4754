import { callAnyEntry } from "../callAnyEntry.js";
import type { EntryOptions } from "../EntryOptions.js";
import { ExitCode } from "../ExitCode.js";
import { printResult } from "../printResult.js";
import { readJson } from "../readJson.js";
import type { Terminal } from "../Terminal.js";

/** Validates a section without writing it. */
export async function checkConfiguration(terminal: Terminal, path: string, options: EntryOptions): Promise<ExitCode> {
    const section = await readJson(terminal, path);
    return section.caseOf({
        Left: fault => {
            terminal.printError(fault);
            return Promise.resolve<ExitCode>(ExitCode.Usage);
        },
        Right: async value => {
            const result = await callAnyEntry(options, client => client.checkConfiguration(value));
            return printResult(terminal, result, options.json);
        },
    });
}
