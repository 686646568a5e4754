import { type Either, Left, Right } from "purify-ts/Either";
import * as z from "zod/mini";
import en from "zod/v4/locales/en.js";

z.config(en());

/**
 * Parses JSON text and checks it against `schema`. The fault list has one line per fault, with its path and the
 * expected value.
 */
export function parseWithSchema<T extends z.ZodMiniType>(
    schema: T,
    text: string,
): Either<readonly string[], z.infer<T>> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (error) {
        return Left([`invalid JSON: ${(error as Error).message}`]);
    }
    const result = schema.safeParse(value);
    if (result.success) {
        return Right(result.data);
    }
    return Left(result.error.issues.map(issue => `${pathOf(issue.path)}: ${issue.message}`));
}

function pathOf(path: readonly PropertyKey[]): string {
    const text = path.map(part => typeof part === "number" ? `[${part}]` : `.${String(part)}`).join("");
    return text === "" ? "(root)" : text.replace(/^\./, "");
}
