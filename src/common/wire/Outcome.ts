import type { FaultCode } from "../FaultCode.js";
import type { Verdict } from "../Verdict.js";

/** Final result of one attempt of a task. */
export interface Outcome {
    readonly task: number;
    readonly attempt: number;
    readonly verdict: Verdict;
    /** True when the endpoint answered with success; then `output` is its JSON value. */
    readonly ok: boolean;
    readonly output?: unknown;
    readonly error?: { readonly code: FaultCode; readonly message: string; } | undefined;
    /** Run time at the endpoint in milliseconds; 0 when nothing ran. */
    readonly runMs: number;
}
