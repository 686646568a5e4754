import type { Outcome } from "../common/wire/Outcome.js";

/** Result of one call to the endpoint. */
export interface CallResult {
    readonly outcome: Outcome;
    /** Size of the output as JSON text, in bytes. */
    readonly outputBytes: number;
}
