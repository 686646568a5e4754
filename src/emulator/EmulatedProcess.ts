import type { Clock } from "../common/Clock.js";

/** One process of an emulated deployment: its timers, what it receives and what it sends. */
export interface EmulatedProcess {
    /** Clock whose timers the process fires. */
    readonly clock: Clock;
    /** Whether the process stands still at present. */
    readonly isStalled: boolean;
    /** Delivers an event to the process, which handles it when it reads its input; one that has ended ignores it. */
    receive(event: () => void): void;
    /** Carries out what the process does to others, such as sending a message. */
    send(effect: () => void): void;
    /** Sends a call and resolves with its response, or with `unanswered` after `timeoutMs` on the clock of the process. */
    call<T>(execute: () => Promise<T>, timeoutMs: number, unanswered: T): Promise<T>;
    /**
     * Delivers a caller's request and resolves with its response; with `dropped` if the process had read the end of the
     * caller's connection before it handled the request. `disconnected` aborts when the caller closes its connection.
     */
    serve<T>(handle: (disconnected: AbortSignal) => Promise<T>, disconnected: AbortSignal, dropped: T): Promise<T>;
    /** Handles what is due at present. */
    run(): Promise<void>;
    /** Makes the process stand still for `ms` after `callbacks` more callbacks; effects of the last one come after it. */
    stall(ms: number, callbacks: number): void;
    /** Ends the process: its timers do not fire any more. */
    end(): void;
}
