import type { LogEvent } from "../common/log/LogEvent.js";
import { LogLevel } from "../common/log/LogLevel.js";

/** Log events 7000 to 7999: start and stop of a role's process. */
export const CliEvent = {
    RoleStarted: { number: 7001, level: LogLevel.Info, text: "role started" },
    DrainStarted: { number: 7002, level: LogLevel.Info, text: "signal received, draining the role" },
    DrainCompleted: { number: 7003, level: LogLevel.Info, text: "drain completed, no work left" },
    DrainForced: { number: 7004, level: LogLevel.Warn, text: "second signal received, stopping the role at once" },
    DrainLimitPassed: { number: 7005, level: LogLevel.Warn, text: "drain limit passed, stopping the role at once" },
    WorkLeft: { number: 7006, level: LogLevel.Warn, text: "role stopped with work in progress" },
    StartFailed: { number: 7007, level: LogLevel.Error, text: "role failed to start" },
    DrainFailed: { number: 7008, level: LogLevel.Error, text: "drain failed, stopping the role" },
} as const satisfies Record<string, LogEvent>;
