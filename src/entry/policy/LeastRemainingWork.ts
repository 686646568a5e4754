import type { Order } from "./Order.js";

/** Time of waiting that halves the weight of the remaining work. */
const HALF_LIFE_MS = 2000;

/**
 * Least remaining work first, with ageing. The weight `work * 2^(-waited / halfLife)` is compared by its logarithm, in
 * which the present time is the same for all jobs and drops out, so that keys change only when work is started.
 */
export class LeastRemainingWork implements Order {
    public key(queuedMs: number, enqueuedAt: number): number {
        return Math.log2(Math.max(1, queuedMs)) + enqueuedAt / HALF_LIFE_MS;
    }
}
