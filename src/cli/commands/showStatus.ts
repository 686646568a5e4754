import { callAnyEntry } from "../callAnyEntry.js";
import { describeAnswer } from "../describeAnswer.js";
import type { EntryOptions } from "../EntryOptions.js";
import type { ExitCode } from "../ExitCode.js";
import { printResult } from "../printResult.js";
import type { Terminal } from "../Terminal.js";

/** Prints the state of a job, or the members and services when no ticket is given. */
export async function showStatus(
    terminal: Terminal,
    ticket: string | undefined,
    options: EntryOptions,
): Promise<ExitCode> {
    if (ticket !== undefined) {
        const answer = await callAnyEntry(options, client => client.job(ticket, 0));
        return printResult(terminal, answer, options.json, describeAnswer);
    }
    const overview = await callAnyEntry(options, async client => {
        const members = await client.members();
        const services = await client.services();
        return members.chain(memberRows =>
            services.map(serviceRows => ({ members: memberRows, services: serviceRows }))
        );
    });
    return printResult(terminal, overview, options.json);
}
