import type { RunRecord } from "./RunRecord.js";

/** Returns two runs of the same task that overlap in time, if there are any. */
export function findOverlappingRuns(records: readonly RunRecord[]): readonly [RunRecord, RunRecord] | undefined {
    const byTask = new Map<string, RunRecord[]>();
    for (const record of records) {
        const others = byTask.get(record.task) ?? [];
        const overlapping = others.find(other => overlaps(other, record));
        if (overlapping !== undefined) {
            return [overlapping, record];
        }
        byTask.set(record.task, [...others, record]);
    }
    return undefined;
}

function overlaps(a: RunRecord, b: RunRecord): boolean {
    return a.from < (b.to ?? Number.POSITIVE_INFINITY) && b.from < (a.to ?? Number.POSITIVE_INFINITY);
}
