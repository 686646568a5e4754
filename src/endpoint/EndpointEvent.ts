import type { LogEvent } from "../common/log/LogEvent.js";
import { LogLevel } from "../common/log/LogLevel.js";

/** Log events 4000 to 4999: the endpoint stub. */
export const EndpointEvent = {
    Started: { number: 4001, level: LogLevel.Info, text: "endpoint started" },
    Announced: { number: 4002, level: LogLevel.Info, text: "endpoint announced to its agent" },
    AnnouncementFailed: {
        number: 4003,
        level: LogLevel.Warn,
        text: "announcement to the agent failed, retrying",
    },
    Withdrawn: { number: 4004, level: LogLevel.Info, text: "endpoint withdrawn from its agent" },
    WithdrawalFailed: { number: 4005, level: LogLevel.Warn, text: "withdrawal from the agent failed" },
    TaskStarted: { number: 4010, level: LogLevel.Debug, text: "task started" },
    TaskEnded: { number: 4011, level: LogLevel.Debug, text: "task ended" },
    TaskAborted: { number: 4012, level: LogLevel.Debug, text: "caller disconnected, task aborted" },
    RequestRefused: { number: 4013, level: LogLevel.Info, text: "request refused, no task was run" },
} as const satisfies Record<string, LogEvent>;
