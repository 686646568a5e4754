import type { Step } from "./Step.js";

/** Job as its caller submitted it. */
export interface JobSubmission {
    /** Idempotency key, chosen by the caller. */
    readonly id: string;
    /** Passed to endpoints unchanged. */
    readonly spec: string;
    readonly steps: readonly Step[];
}
