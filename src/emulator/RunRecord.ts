/** One run of a task at an emulated endpoint, on the virtual clock in milliseconds. */
export interface RunRecord {
    readonly task: string;
    readonly run: number;
    readonly endpoint: string;
    readonly from: number;
    /** End; undefined while it runs. */
    to: number | undefined;
    /** How it ended, such as "done" or "stopped"; undefined while it runs. */
    how: string | undefined;
}
