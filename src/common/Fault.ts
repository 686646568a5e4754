import type { FaultCode } from "./FaultCode.js";
import { Verdict } from "./Verdict.js";

/** Typed error of the dispatcher: a code, a message for people, and the verdict on the request it refuses or fails. */
export class Fault extends Error {
    constructor(
        public readonly code: FaultCode,
        message: string,
        public readonly verdict: Verdict = Verdict.NotRun,
        /** Earliest useful time of another try, in milliseconds from now. */
        public readonly retryAfterMs?: number,
        /** Place of the fault in the input, such as `tasks[3].payload`. */
        public readonly path?: string,
    ) {
        super(message);
        this.name = "Fault";
    }
}
