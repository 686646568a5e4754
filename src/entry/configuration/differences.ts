import type { Difference } from "./Difference.js";

/** Returns every value that differs between `before` and `after`, in path order. */
export function differences(before: unknown, after: unknown, path = ""): readonly Difference[] {
    if (isObject(before) && isObject(after)) {
        const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
        return names.flatMap(name => differences(before[name], after[name], path === "" ? name : `${path}.${name}`));
    }
    if (JSON.stringify(before) === JSON.stringify(after)) {
        return [];
    }
    return [{
        path,
        ...(before === undefined ? {} : { before }),
        ...(after === undefined ? {} : { after }),
    }];
}

function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}
