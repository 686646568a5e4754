/** One event in the history of a job, in the order in which its process recorded them. */
export interface JobHistoryEntry {
    /** Wall-clock time in milliseconds since the Unix epoch; for display only. */
    readonly at: number;
    /** Process that recorded the event. */
    readonly source: string;
    /** Number and text of the log event. */
    readonly event: number;
    readonly text: string;
    readonly task?: number | undefined;
    readonly attempt?: number | undefined;
    readonly agent?: string | undefined;
    readonly detail?: string | undefined;
}
