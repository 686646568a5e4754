import type { TeamJobOrdering } from "./TeamJobOrdering.js";

/** Waiting time that halves the weight of the remaining work. */
const HALF_LIFE_MS = 2000;

/**
 * Least remaining work first, with ageing. The weight `work * 2^(-waited / halfLife)` is compared by its logarithm.
 * There the present time adds the same amount for all jobs and can be left out, so that keys change only when work is
 * started.
 */
export class LeastRemainingWork implements TeamJobOrdering {
    public key(queuedMs: number, enqueuedAt: number): number {
        return Math.log2(Math.max(1, queuedMs)) + enqueuedAt / HALF_LIFE_MS;
    }
}
