import * as z from "zod/mini";
import type { RowStore } from "../../common/leased/RowStore.js";
import type { Log } from "../../common/log/Log.js";
import { parseWithSchema } from "../../common/settings/parseWithSchema.js";
import type { EndpointReport } from "./EndpointReport.js";
import { ENDPOINTS_TABLE } from "./ENDPOINTS_TABLE.js";
import { LeaseEvent } from "./LeaseEvent.js";

/** Lower than the sequence number of any heartbeat. */
const BEFORE_FIRST_HEARTBEAT = -1;

const STORED_REPORT = z.object({
    life: z.object({ id: z.string(), bornMs: z.int() }),
    service: z.string(),
    capacity: z.object({ cpu: z.number(), memoryMb: z.number(), gpu: z.number() }),
    labels: z.array(z.string()),
    draining: z.boolean(),
});

/**
 * Stores the last report of the endpoint on this VM, so that an agent that restarts need not wait for the next
 * heartbeat. The endpoint's own responses decide whether a loaded report still holds.
 */
export class EndpointReportStore {
    /** Text of the stored row, as far as this process knows. */
    private storedText: string | undefined;
    private writing = false;

    constructor(private readonly store: RowStore, private readonly vm: string, private readonly log: Log) {}

    /** Loads the stored report; undefined when there is none, it cannot be read, or the store does not answer. */
    public async load(): Promise<EndpointReport | undefined> {
        const answer = await this.store.readRow(ENDPOINTS_TABLE, this.vm);
        const text = answer.kind === "rows" ? answer.rows[0]?.value?.toString("utf8") : undefined;
        if (text === undefined) {
            return undefined;
        }
        this.storedText ??= text;
        return parseWithSchema(STORED_REPORT, text).caseOf<EndpointReport | undefined>({
            Left: faults => {
                this.log.write(LeaseEvent.StoredReportUnreadable, { faults });
                return undefined;
            },
            Right: report => ({ ...report, sequence: BEFORE_FIRST_HEARTBEAT }),
        });
    }

    /** Stores a report that differs from the stored one. After a failed write, the next heartbeat tries again. */
    public save({ life, service, capacity, labels, draining }: EndpointReport): void {
        void this.write(JSON.stringify({ life, service, capacity, labels, draining }));
    }

    /** Removes the report of an endpoint that has deregistered. */
    public delete(): void {
        void this.write(undefined);
    }

    private async write(text: string | undefined): Promise<void> {
        if (this.writing || text === this.storedText) {
            return;
        }
        this.writing = true;
        const value = text === undefined ? undefined : Buffer.from(text);
        const fault = await this.store.write(ENDPOINTS_TABLE, this.vm, value);
        this.writing = false;
        if (fault === undefined) {
            this.storedText = text;
        }
        else {
            this.log.write(LeaseEvent.ReportNotStored, { reason: fault });
        }
    }
}
