import type { FailurePolicy } from "./FailurePolicy.js";
import type { TaskRequest } from "./TaskRequest.js";

/** A submission of 1 to 400 tasks under one ticket. */
export interface JobRequest {
    /** Encoded ticket; it is the idempotency key of the job. */
    readonly ticket: string;
    readonly service: string;
    readonly team: string;
    /** Time left for the whole job, in milliseconds from the sending of this message. */
    readonly deadlineMs: number;
    readonly onFailure: FailurePolicy;
    readonly tasks: readonly TaskRequest[];
}
