import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";
import type { Disposable } from "../common/Disposable.js";
import type { Terminal } from "./Terminal.js";

const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Terminal of the running process. */
export class SystemTerminal implements Terminal {
    public print(line: string): void {
        console.log(line);
    }

    public printError(line: string): void {
        console.error(line);
    }

    public readText(path: string): Promise<string> {
        return path === "-" ? text(process.stdin) : readFile(path, "utf8");
    }

    public onSignal(listener: (signal: string) => void): Disposable {
        for (const signal of SIGNALS) {
            process.on(signal, listener);
        }
        return {
            dispose: () => {
                for (const signal of SIGNALS) {
                    process.off(signal, listener);
                }
            },
        };
    }
}
