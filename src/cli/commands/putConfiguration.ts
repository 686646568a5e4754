import { Right } from "purify-ts/Either";
import { SystemClock } from "../../common/SystemClock.js";
import { EntryClient } from "../EntryClient.js";
import type { EntryOptions } from "../EntryOptions.js";
import { ExitCode } from "../ExitCode.js";
import { printResult } from "../printResult.js";
import { readJson } from "../readJson.js";
import { resolveChange } from "../resolveChange.js";
import type { Terminal } from "../Terminal.js";

/** Options of `config put`. */
interface PutOptions extends EntryOptions {
    /** Revision that the section must still have; 0 for a new section. */
    readonly revision: number;
}

/**
 * Replaces the section of a team. The write is sent to the first entry only, because a repeated write could be refused.
 * When the store's reply was lost, the outcome of the change is requested and reported once.
 */
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
            const clients = options.entry.map(url => new EntryClient(url, options.token));
            const result = await clients[0]?.putSection(team, value, options.revision);
            const token = result?.swap().map(error => error.token).orDefault(undefined);
            if (result === undefined || token === undefined) {
                return printResult(terminal, result ?? Right(undefined), options.json);
            }
            terminal.printError(`the store's reply was lost, requesting the outcome of change ${token}`);
            return printResult(terminal, await resolveChange(clients, token, new SystemClock()), options.json);
        },
    });
}
