import { describeStory } from "../describeStory.js";
import type { EntryOptions } from "../EntryOptions.js";
import type { ExitCode } from "../ExitCode.js";
import { firstAnswer } from "../firstAnswer.js";
import { printResult } from "../printResult.js";
import type { Terminal } from "../Terminal.js";

/** Prints what happened to a job and its tasks, in order. */
export async function explain(terminal: Terminal, ticket: string, options: EntryOptions): Promise<ExitCode> {
    const result = await firstAnswer(options, client => client.story(ticket));
    return printResult(terminal, result, options.json, describeStory);
}
