import type { LogEvent } from "../common/log/LogEvent.js";
import { LogLevel } from "../common/log/LogLevel.js";

/** Log events 3000 to 3999: stand-in for the platform. */
export const PlatformEvent = {
    Started: { number: 3001, level: LogLevel.Info, text: "platform stand-in started" },
    FaultsChanged: { number: 3002, level: LogLevel.Warn, text: "injected faults changed" },
    ReplyLost: { number: 3003, level: LogLevel.Warn, text: "write took effect, reply dropped on purpose" },
    Stopped: { number: 3004, level: LogLevel.Info, text: "platform stand-in stopped" },
} as const satisfies Record<string, LogEvent>;
