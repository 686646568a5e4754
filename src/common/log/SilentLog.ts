import type { Log } from "./Log.js";

/** Log that drops every line, for tests and embedded runs. */
export class SilentLog implements Log {
    public write(): void {
        // Drops the line.
    }

    public child(): Log {
        return this;
    }
}
