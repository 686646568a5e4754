import type { Outcome } from "../../common/wire/Outcome.js";

/** What the agents of a ticket's agent set know about its tasks, after the ticket was fenced on those that answered. */
export interface Settled {
    /** True when every agent of the set answered with complete records. */
    readonly complete: boolean;
    /** Digest of the submission that the records belong to; undefined when no task is on record. */
    readonly digest: string | undefined;
    /** Outcome of the latest attempt of each task on record; undefined when its end was not seen. */
    readonly outcomes: ReadonlyMap<number, Outcome | undefined>;
}
