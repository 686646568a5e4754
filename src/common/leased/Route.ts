/** Queue that callers submit jobs to, chosen by host and path prefix. */
export interface Route {
    readonly name: string;
    readonly host: string;
    readonly prefix: string;
    readonly service: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Failed runs of one task after which its job has failed. */
    readonly maxAttempts: number;
    /** Longest time of one call, in milliseconds. */
    readonly timeoutMs: number;
    /** The latency target of a job is `stretch` times its longest chain of work plus this many milliseconds. */
    readonly targetMs: number;
    readonly stretch: number;
    /** Whether an advice service decides which endpoints may run a step. */
    readonly advised: boolean;
}
