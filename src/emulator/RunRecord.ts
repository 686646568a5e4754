/** One run at an emulated endpoint, as the endpoint saw it. */
export interface RunRecord {
    readonly task: string;
    readonly run: number;
    readonly endpoint: string;
    readonly from: number;
    /** Undefined while it runs. */
    to: number | undefined;
    how: string | undefined;
}
