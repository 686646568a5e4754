import type { Clock } from "../common/Clock.js";
import type { EmulatedProcess } from "./EmulatedProcess.js";

/** Process that handles everything at once and never stalls. Its timers, which fire after its end too, do no harm. */
export class PromptProcess implements EmulatedProcess {
    public readonly isStalled = false;

    constructor(public readonly clock: Clock) {}

    public receive(event: () => void): void {
        event();
    }

    public send(effect: () => void): void {
        effect();
    }

    public call<T>(execute: () => Promise<T>): Promise<T> {
        return execute();
    }

    public serve<T>(handle: (disconnected: AbortSignal) => Promise<T>, disconnected: AbortSignal): Promise<T> {
        return handle(disconnected);
    }

    public run(): Promise<void> {
        return Promise.resolve();
    }

    public stall(): void {
        throw new Error("this process cannot stall");
    }

    public end(): void {
        // Nothing is left to end.
    }
}
