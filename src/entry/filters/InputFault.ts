import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";

interface InputError {
    readonly path: string;
    readonly message: string;
}

/** Fault for an invalid request body; lists every error with its path. */
export class InputFault extends Fault {
    constructor(public readonly faults: readonly InputError[]) {
        const text = faults.map(fault => `${fault.path}: ${fault.message}`).join("; ");
        super(FaultCode.BadInput, text, Verdict.NotRun, undefined, faults[0]?.path);
    }
}
