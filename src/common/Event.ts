import type { Disposable } from "./Disposable.js";

/** Registers a listener; disposing the result removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;
