import type { Row } from "./Row.js";
import type { Transaction } from "./Transaction.js";

/**
 * Transactional table service of the platform. Every method rejects with a `Fault` `store_unavailable` on an outage or
 * timeout; after that, a transaction may have taken effect.
 */
export interface Table {
    read(key: string): Promise<Row | undefined>;
    /** Returns the rows whose key starts with `prefix`, in key order. */
    list(prefix: string): Promise<readonly Row[]>;
    /** Applies all writes, or none when a condition does not hold. Returns whether it was applied. */
    transact(transaction: Transaction): Promise<boolean>;
}
