import { EntryClient } from "../EntryClient.js";
import type { EntryOptions } from "../EntryOptions.js";
import { ExitCode } from "../ExitCode.js";
import { printResult } from "../printResult.js";
import { readJson } from "../readJson.js";
import type { Terminal } from "../Terminal.js";

/** Options of `config put`. */
interface PutOptions extends EntryOptions {
    /** Section revision that the operator saw; 0 for a new section. */
    readonly revision: number;
}

/** Replaces the section of a team. It is sent to the first entry only, because a repeated write could be refused. */
export async function putConfiguration(
    terminal: Terminal,
    team: string,
    path: string,
    options: PutOptions,
): Promise<ExitCode> {
    const section = await readJson(terminal, path);
    return section.caseOf({
        Left: fault => {
            terminal.printError(fault);
            return Promise.resolve<ExitCode>(ExitCode.Usage);
        },
        Right: async value => {
            const client = new EntryClient(options.entry[0] ?? "", options.token);
            return printResult(terminal, await client.putSection(team, value, options.revision), options.json);
        },
    });
}
