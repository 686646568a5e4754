import { InvalidArgumentError } from "commander";

/** Parses the value of an option that is a non-negative integer. */
export function parseNonNegativeInteger(text: string): number {
    const value = Number(text);
    if (!Number.isSafeInteger(value) || value < 0 || text.trim() === "") {
        throw new InvalidArgumentError("expected a whole number of at least 0");
    }
    return value;
}
