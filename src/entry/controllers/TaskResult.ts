import type { FaultCode } from "../../common/FaultCode.js";
import type { Verdict } from "../../common/Verdict.js";

/** Final result of one task. */
export interface TaskResult {
    readonly ok: boolean;
    readonly verdict: Verdict;
    readonly output?: unknown;
    readonly error?: { readonly code: FaultCode; readonly message: string; } | undefined;
}
