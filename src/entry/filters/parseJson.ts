import { findJsonFault } from "../../common/findJsonFault.js";
import { InputFault } from "./InputFault.js";

/** Parses a JSON body; throws an `InputFault` when it is malformed, nested too deeply or has a reserved field. */
export function parseJson(text: string): unknown {
    let fault: string | undefined;
    try {
        fault = findJsonFault(text);
        if (fault === undefined) {
            return JSON.parse(text) as unknown;
        }
    }
    catch (error) {
        fault = `body is not valid JSON: ${error instanceof Error ? error.message : String(error)}`;
    }
    throw new InputFault([{ path: "(root)", message: fault }]);
}
