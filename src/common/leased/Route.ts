/** Queue that callers submit jobs to, selected by host and path prefix. */
export interface Route {
    readonly name: string;
    readonly host: string;
    readonly prefix: string;
    readonly service: string;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Number of failed runs of one task after which its job fails. */
    readonly maxAttempts: number;
    /** Timeout of one call, in milliseconds. */
    readonly timeoutMs: number;
    /** The latency target of a job is `stretch` times its critical path plus this many milliseconds. */
    readonly targetMs: number;
    readonly stretch: number;
    /** Whether an advice service decides which endpoints may run a step. */
    readonly advised: boolean;
}
