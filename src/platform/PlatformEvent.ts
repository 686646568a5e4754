import type { LogEvent } from "../common/log/LogEvent.js";
import { LogLevel } from "../common/log/LogLevel.js";

/** Log events 3000 to 3999: platform stub. */
export const PlatformEvent = {
    Started: { number: 3001, level: LogLevel.Info, text: "platform stub started" },
    FaultsChanged: { number: 3002, level: LogLevel.Warn, text: "plan of injected faults replaced" },
    ReplyLost: { number: 3003, level: LogLevel.Warn, text: "write applied, reply dropped as the fault plan requires" },
    Stopped: { number: 3004, level: LogLevel.Info, text: "platform stub stopped" },
} as const satisfies Record<string, LogEvent>;
