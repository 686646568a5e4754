import { Fault } from "../common/Fault.js";
import { FaultCode } from "../common/FaultCode.js";
import type { Row } from "../common/table/Row.js";
import type { Table } from "../common/table/Table.js";
import type { Transaction } from "../common/table/Transaction.js";
import { Verdict } from "../common/Verdict.js";
import { Rows } from "../platform/Rows.js";

/** What happens to a request to the table. A `late` transaction is applied after its caller has got an error. */
type Delivery = "ok" | "refused" | "reply_lost" | "late";

/**
 * In-memory table for tests. `nextDelivery` chooses what happens to each request; a request awaits `turn` before and
 * after it is processed, which lets a test interleave requests.
 */
export class MemoryTable implements Table {
    public readonly rows = new Rows();
    /** Applied transactions, in order. */
    public readonly applied: Transaction[] = [];
    constructor(
        private readonly nextDelivery: () => Delivery = () => "ok",
        private readonly turn: () => Promise<void> = () => Promise.resolve(),
    ) {}

    public async read(key: string): Promise<Row | undefined> {
        return this.request(() => this.rows.read(key));
    }

    public async list(prefix: string): Promise<readonly Row[]> {
        return this.request(() => this.rows.list(prefix));
    }

    public async transact(transaction: Transaction): Promise<boolean> {
        const copy = structuredClone(transaction);
        await this.turn();
        const delivery = this.nextDelivery();
        if (delivery === "refused") {
            throw unavailable();
        }
        if (delivery === "late") {
            void this.turn().then(() => this.apply(copy));
            throw unavailable();
        }
        const applied = this.apply(copy);
        if (delivery === "reply_lost") {
            throw unavailable();
        }
        await this.turn();
        return applied;
    }

    private async request<T>(work: () => T): Promise<T> {
        await this.turn();
        const delivery = this.nextDelivery();
        if (delivery === "refused") {
            throw unavailable();
        }
        const result = structuredClone(work());
        await this.turn();
        return result;
    }

    private apply(transaction: Transaction): boolean {
        const applied = this.rows.transact(transaction);
        if (applied) {
            this.applied.push(transaction);
        }
        return applied;
    }
}

function unavailable(): Fault {
    return new Fault(FaultCode.StoreUnavailable, "injected", Verdict.MayHaveRun);
}
