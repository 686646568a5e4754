import * as z from "zod/mini";
import type { RowStore } from "../../common/leased/RowStore.js";
import type { Log } from "../../common/log/Log.js";
import { parseWithSchema } from "../../common/settings/parseWithSchema.js";
import type { EndpointReport } from "./EndpointReport.js";
import { ENDPOINTS_TABLE } from "./ENDPOINTS_TABLE.js";
import { LeaseEvent } from "./LeaseEvent.js";

/** Lower than the number of any heartbeat. */
const BEFORE_FIRST_HEARTBEAT = -1;

const STORED_REPORT = z.object({
    life: z.object({ id: z.string(), bornMs: z.int() }),
    service: z.string(),
    capacity: z.object({ cpu: z.number(), memoryMb: z.number(), gpu: z.number() }),
    labels: z.array(z.string()),
    draining: z.boolean(),
});

/**
 * Keeps in the store what the endpoint on this VM says of itself, so that an agent that starts again need not wait for the
 * next heartbeat. The endpoint's own answers decide whether what is recalled still holds.
 */
export class EndpointReportStore {
    /** Text of the row, as far as this process knows. */
    private stored: string | undefined;
    private writing = false;

    constructor(private readonly store: RowStore, private readonly vm: string, private readonly log: Log) {}

    /** Last report that was kept; undefined when there is none, or the store does not answer. */
    public async recall(): Promise<EndpointReport | undefined> {
        const answer = await this.store.readRow(ENDPOINTS_TABLE, this.vm);
        const text = answer.kind === "rows" ? answer.rows[0]?.value?.toString("utf8") : undefined;
        if (text === undefined) {
            return undefined;
        }
        this.stored ??= text;
        return parseWithSchema(STORED_REPORT, text).caseOf<EndpointReport | undefined>({
            Left: faults => {
                this.log.write(LeaseEvent.MemoryUnreadable, { faults });
                return undefined;
            },
            Right: report => ({ ...report, sequence: BEFORE_FIRST_HEARTBEAT }),
        });
    }

    /** Keeps a report if it says something new. One that could not be written is written after the next heartbeat. */
    public remember({ life, service, capacity, labels, draining }: EndpointReport): void {
        void this.write(JSON.stringify({ life, service, capacity, labels, draining }));
    }

    /** Forgets the endpoint, which has left. */
    public forget(): void {
        void this.write(undefined);
    }

    private async write(text: string | undefined): Promise<void> {
        if (this.writing || text === this.stored) {
            return;
        }
        this.writing = true;
        const value = text === undefined ? undefined : Buffer.from(text);
        const fault = await this.store.write(ENDPOINTS_TABLE, this.vm, value);
        this.writing = false;
        if (fault === undefined) {
            this.stored = text;
        }
        else {
            this.log.write(LeaseEvent.MemoryNotWritten, { reason: fault });
        }
    }
}
