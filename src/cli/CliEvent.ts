import type { LogEvent } from "../common/log/LogEvent.js";
import { LogLevel } from "../common/log/LogLevel.js";

/** Log events 7000 to 7999: start and stop of a process. */
export const CliEvent = {
    RoleStarted: { number: 7001, level: LogLevel.Info, text: "role started" },
    DrainStarted: { number: 7002, level: LogLevel.Info, text: "signal received, draining" },
    DrainCompleted: { number: 7003, level: LogLevel.Info, text: "drained, nothing left" },
    DrainForced: { number: 7004, level: LogLevel.Warn, text: "second signal received, stopping now" },
    DrainLimitPassed: { number: 7005, level: LogLevel.Warn, text: "drain limit passed, stopping now" },
    WorkLeft: { number: 7006, level: LogLevel.Warn, text: "work left at the stop" },
    StartFailed: { number: 7007, level: LogLevel.Error, text: "role could not start" },
    DrainFailed: { number: 7008, level: LogLevel.Error, text: "drain failed, stopping now" },
} as const satisfies Record<string, LogEvent>;
