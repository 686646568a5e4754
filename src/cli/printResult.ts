import type { Either } from "purify-ts/Either";
import { describeError } from "./describeError.js";
import type { EntryError } from "./EntryError.js";
import { ExitCode } from "./ExitCode.js";
import type { Terminal } from "./Terminal.js";

const JSON_INDENT = 2;

/** Prints the value as text or as JSON, or the error; returns the exit code. */
export function printResult<T>(
    terminal: Terminal,
    result: Either<EntryError, T>,
    json: boolean | undefined,
    describe: (value: T) => readonly string[] = toJsonLines,
): ExitCode {
    return result.caseOf({
        Left: error => {
            if (json === true) {
                terminal.print(JSON.stringify({ error }));
            }
            terminal.printError(describeError(error));
            return ExitCode.Failure;
        },
        Right: value => {
            const lines = json === true ? [JSON.stringify(value) as string | undefined ?? "{}"] : describe(value);
            lines.forEach(line => terminal.print(line));
            return ExitCode.Success;
        },
    });
}

function toJsonLines(value: unknown): readonly string[] {
    return value === undefined ? ["done"] : JSON.stringify(value, undefined, JSON_INDENT).split("\n");
}
