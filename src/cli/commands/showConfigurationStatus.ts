import type { EntryOptions } from "../EntryOptions.js";
import type { ExitCode } from "../ExitCode.js";
import { firstAnswer } from "../firstAnswer.js";
import { printResult } from "../printResult.js";
import type { Terminal } from "../Terminal.js";

/** Prints which configuration revision is in force where. */
export async function showConfigurationStatus(terminal: Terminal, options: EntryOptions): Promise<ExitCode> {
    const result = await firstAnswer(options, client => client.configurationStatus());
    return printResult(terminal, result, options.json);
}
