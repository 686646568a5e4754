import type { Row } from "../common/table/Row.js";
import type { Transaction } from "../common/table/Transaction.js";

/** In-memory rows of the table service. */
export class Rows {
    private readonly rows = new Map<string, Row>();

    public get size(): number {
        return this.rows.size;
    }

    public read(key: string): Row | undefined {
        return this.rows.get(key);
    }

    public list(prefix: string): readonly Row[] {
        return [...this.rows.values()]
            .filter(row => row.key.startsWith(prefix))
            .sort((a, b) => a.key < b.key ? -1 : 1);
    }

    /** Applies all writes if every condition on a row's revision holds, else none; returns whether it did. */
    public transact(transaction: Transaction): boolean {
        const holds = transaction.conditions.every(({ key, revision }) => this.revisionOf(key) === revision);
        if (!holds) {
            return false;
        }
        for (const { key, value } of transaction.writes) {
            if (value === undefined) {
                this.rows.delete(key);
            }
            else {
                this.rows.set(key, { key, value, revision: this.revisionOf(key) + 1 });
            }
        }
        return true;
    }

    private revisionOf(key: string): number {
        return this.rows.get(key)?.revision ?? 0;
    }
}
