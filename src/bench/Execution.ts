/** Run of one task, as reported by its endpoint. */
export interface Execution {
    readonly task: number;
    /** Wall-clock start in milliseconds since the Unix epoch. */
    readonly startedAt: number;
    readonly runMs: number;
}
