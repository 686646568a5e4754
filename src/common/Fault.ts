import type { FaultCode } from "./FaultCode.js";
import { Verdict } from "./Verdict.js";

/** Typed error of the dispatcher: a code for programs, a message for people, and a verdict on the failed request. */
export class Fault extends Error {
    constructor(
        public readonly code: FaultCode,
        message: string,
        public readonly verdict: Verdict = Verdict.NotRun,
        /** Delay in milliseconds after which a retry is useful. */
        public readonly retryAfterMs?: number,
        /** Place of the fault in the input, such as `tasks[3].payload`. */
        public readonly path?: string,
    ) {
        super(message);
        this.name = "Fault";
    }
}
