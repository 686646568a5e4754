import { InvalidArgumentError } from "commander";

/** Parses an option that is a whole number of at least 0. */
export function parseWhole(text: string): number {
    const value = Number(text);
    if (!Number.isSafeInteger(value) || value < 0 || text.trim() === "") {
        throw new InvalidArgumentError("expected a whole number of at least 0");
    }
    return value;
}
