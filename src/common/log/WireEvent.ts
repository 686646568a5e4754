import type { LogEvent } from "./LogEvent.js";
import { LogLevel } from "./LogLevel.js";

/** Log events 5000 to 5999: connections between processes. */
export const WireEvent = {
    ConnectionOpened: { number: 5001, level: LogLevel.Debug, text: "connection opened" },
    ConnectionClosed: { number: 5002, level: LogLevel.Info, text: "connection closed" },
    HandshakeRejected: { number: 5003, level: LogLevel.Warn, text: "handshake rejected" },
    MalformedInput: { number: 5004, level: LogLevel.Warn, text: "malformed input, closing the connection" },
    SendQueueFull: { number: 5005, level: LogLevel.Warn, text: "send queue over its limit, closing the connection" },
    HeartbeatLost: { number: 5006, level: LogLevel.Warn, text: "heartbeats missed, closing the connection" },
    ConnectionRefused: {
        number: 5007,
        level: LogLevel.Warn,
        text: "connection refused, too many connections or handshakes are open",
    },
} as const satisfies Record<string, LogEvent>;
