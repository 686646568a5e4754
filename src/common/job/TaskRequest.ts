/** One task of a submission. */
export interface TaskRequest {
    /** JSON value that is passed to the endpoint unchanged. */
    readonly payload: unknown;
    /** Run time that the caller expects, in milliseconds; a hint that is often inaccurate. */
    readonly sizeMs?: number | undefined;
    /** Whether the task may be started again after it ran and failed. */
    readonly repeatable: boolean;
}
