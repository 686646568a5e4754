import { EntryClient } from "../EntryClient.js";
import type { EntryOptions } from "../EntryOptions.js";
import { ExitCode } from "../ExitCode.js";
import { printResult } from "../printResult.js";
import type { Terminal } from "../Terminal.js";

/** Requests a drain of every given entry; fails when one of them refuses or does not respond. */
export async function drain(terminal: Terminal, options: EntryOptions): Promise<ExitCode> {
    let code: ExitCode = ExitCode.Success;
    for (const url of options.entry) {
        const result = await new EntryClient(url, options.token).drain();
        const one = printResult(terminal, result, options.json, () => [`${url} is draining`]);
        code = one === ExitCode.Success ? code : one;
    }
    return code;
}
