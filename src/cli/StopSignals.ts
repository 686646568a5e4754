import type { Disposable } from "../common/Disposable.js";
import type { Terminal } from "./Terminal.js";

/** First and second stop signal. Created before a role starts, so that a signal during the start is not lost. */
export class StopSignals implements Disposable {
    /** Resolves with the name of the first signal. */
    public readonly first: Promise<string>;
    /** Resolves at the second signal. */
    public readonly second: Promise<void>;
    private readonly registration: Disposable;

    constructor(terminal: Pick<Terminal, "onSignal">) {
        let onFirst: (signal: string) => void = () => undefined;
        let onSecond: () => void = () => undefined;
        this.first = new Promise(resolve => onFirst = resolve);
        this.second = new Promise(resolve => onSecond = resolve);
        let count = 0;
        this.registration = terminal.onSignal(signal => {
            count += 1;
            if (count === 1) {
                onFirst(signal);
            }
            else {
                onSecond();
            }
        });
    }

    public dispose(): void {
        this.registration.dispose();
    }
}
