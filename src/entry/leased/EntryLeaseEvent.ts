import type { LogEvent } from "../../common/log/LogEvent.js";
import { LogLevel } from "../../common/log/LogLevel.js";

/** Log events 8500 to 8999: entries that dispatch jobs whose tasks run under leases. */
export const EntryLeaseEvent = {
    JobTaken: { number: 8501, level: LogLevel.Info, text: "job taken" },
    JobJoined: { number: 8502, level: LogLevel.Info, text: "job submitted again, joined" },
    TasksPlaced: { number: 8503, level: LogLevel.Info, text: "tasks placed" },
    JobAnswered: { number: 8504, level: LogLevel.Info, text: "job answered" },
    TaskReturned: { number: 8505, level: LogLevel.Info, text: "task came back, to be placed again" },
    CallerLeft: { number: 8506, level: LogLevel.Info, text: "caller left, stopping its job" },
    SubmissionRefused: { number: 8507, level: LogLevel.Info, text: "submission refused" },
    SubmissionDropped: { number: 8508, level: LogLevel.Info, text: "submission dropped, its caller had left before" },
    AgentAttached: { number: 8510, level: LogLevel.Info, text: "agent attached" },
    AgentLost: { number: 8511, level: LogLevel.Warn, text: "agent lost" },
    AgentEjected: { number: 8512, level: LogLevel.Warn, text: "agent failed its last tasks, none for a while" },
    EndpointChanged: { number: 8513, level: LogLevel.Info, text: "endpoint of an agent changed" },
    RoutesTaken: { number: 8520, level: LogLevel.Info, text: "routing document of a higher version taken" },
    Stopping: { number: 8521, level: LogLevel.Info, text: "entry stops, not ready" },
} as const satisfies Record<string, LogEvent>;
