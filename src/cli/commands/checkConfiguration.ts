import type { EntryOptions } from "../EntryOptions.js";
import { ExitCode } from "../ExitCode.js";
import { firstAnswer } from "../firstAnswer.js";
import { printResult } from "../printResult.js";
import { readJson } from "../readJson.js";
import type { Terminal } from "../Terminal.js";

/** Checks a section completely without writing it. */
export async function checkConfiguration(terminal: Terminal, path: string, options: EntryOptions): Promise<ExitCode> {
    const section = await readJson(terminal, path);
    return section.caseOf({
        Left: fault => {
            terminal.printError(fault);
            return Promise.resolve<ExitCode>(ExitCode.Usage);
        },
        Right: async value => {
            const result = await firstAnswer(options, client => client.checkConfiguration(value));
            return printResult(terminal, result, options.json);
        },
    });
}
