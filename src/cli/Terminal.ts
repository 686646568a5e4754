import type { Disposable } from "../common/Disposable.js";

/** Environment of a command: its output, input files and signals. */
export interface Terminal {
    /** Writes a line to standard output. */
    print(line: string): void;
    /** Writes a line to standard error. */
    printError(line: string): void;
    /** Reads a whole file as text; `-` is standard input. */
    readText(path: string): Promise<string>;
    /** Calls the listener on each SIGTERM and SIGINT. */
    onSignal(listener: (signal: string) => void): Disposable;
}
