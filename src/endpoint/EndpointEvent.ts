import type { LogEvent } from "../common/log/LogEvent.js";
import { LogLevel } from "../common/log/LogLevel.js";

/** Log events 4000 to 4999: the stand-in for an endpoint. */
export const EndpointEvent = {
    Started: { number: 4001, level: LogLevel.Info, text: "endpoint started" },
    Announced: { number: 4002, level: LogLevel.Info, text: "announced at the agent" },
    AnnouncementFailed: { number: 4003, level: LogLevel.Warn, text: "agent did not take the announcement" },
    Withdrawn: { number: 4004, level: LogLevel.Info, text: "withdrawn from the agent" },
    WithdrawalFailed: { number: 4005, level: LogLevel.Warn, text: "agent did not take the withdrawal" },
    TaskStarted: { number: 4010, level: LogLevel.Debug, text: "task started" },
    TaskEnded: { number: 4011, level: LogLevel.Debug, text: "task ended" },
    TaskAborted: { number: 4012, level: LogLevel.Debug, text: "caller disconnected, task stopped" },
    RequestRefused: { number: 4013, level: LogLevel.Info, text: "request refused, not run" },
} as const satisfies Record<string, LogEvent>;
