import type { TicketCodec } from "../common/ticket/TicketCodec.js";
import type { JobResult } from "./JobResult.js";
import type { RepeatedStarts } from "./RepeatedStarts.js";

/**
 * Counts tasks with more than one start. `starts` has the number of starts by `issuer/sequence/task`; a task whose job
 * is unknown counts as not repeatable.
 */
export function countRepeatedStarts(
    results: readonly JobResult[],
    starts: ReadonlyMap<string, number>,
    codec: TicketCodec,
): RepeatedStarts {
    const repeatable = new Set<string>();
    for (const { job, ticket } of results) {
        const decoded = codec.decode(ticket ?? "").toMaybe().extract();
        job.tasks.forEach((task, index) => {
            if (decoded !== undefined && task.repeatable) {
                repeatable.add(`${decoded.issuer}/${decoded.sequence}/${index}`);
            }
        });
    }
    const repeated = [...starts].filter(([, count]) => count > 1).map(([task]) => task);
    const retried = repeated.filter(task => repeatable.has(task)).length;
    return { duplicates: repeated.length - retried, retried };
}
