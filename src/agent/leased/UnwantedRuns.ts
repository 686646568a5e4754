import type { EndpointSession } from "./EndpointSession.js";
import type { RunList } from "./RunList.js";
import type { RunTable } from "./RunTable.js";

/**
 * Whether run lists show unwanted runs: orphaned ones, which no attached entry has ordered, or those whose endpoint was
 * lost.
 */
export class UnwantedRuns {
    private listedSinceMs = Number.POSITIVE_INFINITY;

    constructor(private readonly session: EndpointSession, private readonly table: RunTable) {}

    /** Time on the endpoint's clock since when lists show unwanted runs; infinite while they show none. */
    public get sinceMs(): number {
        return this.listedSinceMs;
    }

    /** Applies a run list, after the runs that it shows were reconciled. */
    public applyList(list: RunList): void {
        const hasUnwanted = list.running.some(({ task }) => this.table.get(task)?.endpointLost ?? true);
        this.listedSinceMs = hasUnwanted
            ? Math.min(this.listedSinceMs, this.session.clockMs ?? 0)
            : Number.POSITIVE_INFINITY;
    }

    /** Discards what was listed by an earlier incarnation. */
    public reset(): void {
        this.listedSinceMs = Number.POSITIVE_INFINITY;
    }
}
