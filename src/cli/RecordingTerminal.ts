import { EventEmitter } from "node:events";
import type { Disposable } from "../common/Disposable.js";
import type { Terminal } from "./Terminal.js";

/** Fake terminal for tests: records the output, has one input file, and delivers signals that the test sends. */
export class RecordingTerminal implements Terminal {
    public readonly lines: string[] = [];
    public readonly errors: string[] = [];
    private readonly signals = new EventEmitter();

    constructor(private readonly file?: string) {}

    public print(line: string): void {
        this.lines.push(line);
    }

    public printError(line: string): void {
        this.errors.push(line);
    }

    public readText(path: string): Promise<string> {
        return this.file === undefined ? Promise.reject(new Error(`no file ${path}`)) : Promise.resolve(this.file);
    }

    public onSignal(listener: (signal: string) => void): Disposable {
        this.signals.on("signal", listener);
        return { dispose: () => this.signals.off("signal", listener) };
    }

    public signal(name: string): void {
        this.signals.emit("signal", name);
    }
}
