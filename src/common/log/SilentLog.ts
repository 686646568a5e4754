import type { Log } from "./Log.js";

/** Log that drops every line, for tests and embedded runs. */
export class SilentLog implements Log {
    public write(): void {
        // Nothing to keep.
    }

    public child(): Log {
        return this;
    }
}
