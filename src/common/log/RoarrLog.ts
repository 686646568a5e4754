import "./enableRoarr.js";
// Must be imported before roarr, which reads the variable set there while it loads.
import { ROARR, Roarr } from "roarr";
import type { Log } from "./Log.js";
import type { LogEvent } from "./LogEvent.js";
import type { LogFields } from "./LogFields.js";

type Logger = typeof Roarr;

/** Log that writes one JSON line per event through roarr, by default to standard error. */
export class RoarrLog implements Log {
    private constructor(private readonly logger: Logger) {}

    /** Creates the root log of a process and makes roarr call `write` with each line, without its line end. */
    public static create(fields: LogFields, write: (line: string) => void = writeToStandardError): RoarrLog {
        ROARR.write = write;
        return new RoarrLog(Roarr.child(toContext(fields)));
    }

    public write(event: LogEvent, fields: LogFields = {}): void {
        this.logger[event.level]({ event: event.number, ...toContext(fields) }, event.text);
    }

    public child(fields: LogFields): Log {
        return new RoarrLog(this.logger.child(toContext(fields)));
    }
}

function writeToStandardError(line: string): void {
    process.stderr.write(line + "\n");
}

function toContext(fields: LogFields): Parameters<Logger["child"]>[0] & object {
    return fields as Parameters<Logger["child"]>[0] & object;
}
