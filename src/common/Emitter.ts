import type { Disposable } from "./Disposable.js";
import type { Event } from "./Event.js";

/** Owner side of an event: its class fires it and exposes `event` as an `onX` property. */
export class Emitter<T> implements Disposable {
    private readonly listeners = new Set<(value: T) => void>();

    public readonly event: Event<T> = listener => {
        this.listeners.add(listener);
        return { dispose: () => this.listeners.delete(listener) };
    };

    public fire(value: T): void {
        for (const listener of [...this.listeners]) {
            listener(value);
        }
    }

    public dispose(): void {
        this.listeners.clear();
    }
}
