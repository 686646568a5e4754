import type { LogEvent } from "../log/LogEvent.js";
import { LogLevel } from "../log/LogLevel.js";

/** Log events 9000 to 9499: the platform's store and the adapter. */
export const StoreEvent = {
    StoreLost: { number: 9001, level: LogLevel.Warn, text: "store cannot be used, going on without it" },
    StoreRegained: { number: 9002, level: LogLevel.Info, text: "store can be used again" },
    HistoryExpired: { number: 9003, level: LogLevel.Info, text: "store dropped the changes asked for, reading again" },
    DocumentUnreadable: {
        number: 9004,
        level: LogLevel.Error,
        text: "routing document cannot be read, keeping the old one",
    },
    EntryAnnounced: { number: 9005, level: LogLevel.Info, text: "own address written to the store" },
    SettingsRead: { number: 9006, level: LogLevel.Info, text: "settings read again" },
    SettingsUnreadable: { number: 9007, level: LogLevel.Error, text: "settings cannot be read, keeping the old ones" },
    ProcessStarted: { number: 9008, level: LogLevel.Info, text: "process started" },
    ProcessStopped: { number: 9009, level: LogLevel.Info, text: "process stopped" },
    LinesDropped: { number: 9010, level: LogLevel.Warn, text: "log lines dropped" },
    InternalFault: { number: 9011, level: LogLevel.Error, text: "unexpected error" },
} as const satisfies Record<string, LogEvent>;
