import type { Step } from "./Step.js";

/** Job as its caller submitted it. */
export interface JobSubmission {
    /** Chosen by the caller; the same id is the same job. */
    readonly id: string;
    /** Passed on to endpoints unchanged. */
    readonly spec: string;
    readonly steps: readonly Step[];
}
