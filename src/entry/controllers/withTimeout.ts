import type { Clock } from "../../common/Clock.js";

/** Resolves with the promise's value, or with undefined after `limitMs` milliseconds; rejects when the promise does. */
export function withTimeout<T>(clock: Clock, promise: Promise<T>, limitMs: number): Promise<T | undefined> {
    return new Promise((resolve, reject) => {
        const cancel = clock.schedule(limitMs, () => {
            resolve(undefined);
        });
        promise.then(
            value => {
                cancel();
                resolve(value);
            },
            (error: unknown) => {
                cancel();
                reject(error instanceof Error ? error : new Error(String(error)));
            },
        );
    });
}
