import type { Context } from "hono";
import * as z from "zod/mini";
import { InputFault } from "./InputFault.js";
import { parseJson } from "./parseJson.js";

/** Reads the JSON body and checks it against `schema`; throws a fault that lists everything that is wrong. */
export async function checkInput<T extends z.ZodMiniType>(context: Context, schema: T): Promise<z.infer<T>> {
    const text = await context.req.text();
    const result = schema.safeParse(parseJson(text));
    if (result.success) {
        return result.data;
    }
    throw new InputFault(result.error.issues.map(issue => ({ path: pathOf(issue.path), message: issue.message })));
}

function pathOf(path: readonly PropertyKey[]): string {
    const text = path.map(part => typeof part === "number" ? `[${part}]` : `.${String(part)}`).join("");
    return text === "" ? "(root)" : text.replace(/^\./, "");
}
