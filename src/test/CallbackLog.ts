import type { Log } from "../common/log/Log.js";
import type { LogEvent } from "../common/log/LogEvent.js";

/** Log that passes each event to a function. */
export class CallbackLog implements Log {
    constructor(private readonly handle: (event: LogEvent) => void) {}

    public write(event: LogEvent): void {
        this.handle(event);
    }

    public child(): Log {
        return this;
    }
}
