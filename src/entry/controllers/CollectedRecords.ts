import type { Outcome } from "../../common/wire/Outcome.js";

/** Records that a ticket's agents have of its tasks; the ticket is fenced on every agent that answered. */
export interface CollectedRecords {
    /** True when every agent of the ticket answered with complete records. */
    readonly complete: boolean;
    /** Digest of the submission that the records belong to; undefined when no task is on record. */
    readonly digest: string | undefined;
    /** Outcome of the latest attempt of each task on record; undefined when it is not known how the attempt ended. */
    readonly outcomes: ReadonlyMap<number, Outcome | undefined>;
}
