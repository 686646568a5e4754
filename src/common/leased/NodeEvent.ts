import type { LogEvent } from "../log/LogEvent.js";
import { LogLevel } from "../log/LogLevel.js";

/** Log events 9000 to 9499: the platform adapter, its process and the platform's store. */
export const NodeEvent = {
    StoreUnavailable: { number: 9001, level: LogLevel.Warn, text: "store unavailable, continuing without it" },
    StoreAvailable: { number: 9002, level: LogLevel.Info, text: "store available again" },
    HistoryExpired: {
        number: 9003,
        level: LogLevel.Info,
        text: "store no longer has the requested changes, reading the table again",
    },
    DocumentInvalid: {
        number: 9004,
        level: LogLevel.Error,
        text: "routing document is invalid, keeping the previous one",
    },
    EntryAddressWritten: { number: 9005, level: LogLevel.Info, text: "entry address written to the store" },
    SettingsReloaded: { number: 9006, level: LogLevel.Info, text: "settings reloaded" },
    SettingsUnreadable: {
        number: 9007,
        level: LogLevel.Error,
        text: "settings cannot be read, keeping the previous ones",
    },
    ProcessStarted: { number: 9008, level: LogLevel.Info, text: "process started" },
    ProcessStopped: { number: 9009, level: LogLevel.Info, text: "process stopped" },
    LinesDropped: { number: 9010, level: LogLevel.Warn, text: "log lines dropped" },
    InternalFault: { number: 9011, level: LogLevel.Error, text: "unexpected error" },
} as const satisfies Record<string, LogEvent>;
