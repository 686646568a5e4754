import { type Either, Left, Right } from "purify-ts/Either";
import type { Terminal } from "./Terminal.js";

/** Reads a JSON file, or standard input for `-`; returns an error message when it cannot be read or parsed. */
export async function readJson(terminal: Terminal, path: string): Promise<Either<string, unknown>> {
    try {
        return Right(JSON.parse(await terminal.readText(path)) as unknown);
    }
    catch (error) {
        return Left(`cannot read JSON from ${path}: ${(error as Error).message}`);
    }
}
