import type { LogEvent } from "../../common/log/LogEvent.js";
import { LogLevel } from "../../common/log/LogLevel.js";

/** Log events 8500 to 8999 of entries that dispatch jobs whose tasks run under leases. */
export const EntryLeaseEvent = {
    JobAccepted: { number: 8501, level: LogLevel.Info, text: "job accepted into the queue" },
    JobJoined: { number: 8502, level: LogLevel.Info, text: "open job submitted again, caller waits for same outcome" },
    TasksPlaced: { number: 8503, level: LogLevel.Info, text: "tasks of a job sent to an agent" },
    JobAnswered: { number: 8504, level: LogLevel.Info, text: "job answered" },
    TaskRequeued: { number: 8505, level: LogLevel.Info, text: "task run ended without success, task queued again" },
    CallerDisconnected: { number: 8506, level: LogLevel.Info, text: "last caller disconnected, job cancelled" },
    SubmissionRefused: { number: 8507, level: LogLevel.Info, text: "submission refused" },
    SubmissionDropped: { number: 8508, level: LogLevel.Info, text: "submission dropped, caller already disconnected" },
    CompletionIgnored: {
        number: 8509,
        level: LogLevel.Warn,
        text: "end of a run ignored, its agent does not have the task any more",
    },
    AgentAttached: { number: 8510, level: LogLevel.Info, text: "agent attached" },
    AgentLost: { number: 8511, level: LogLevel.Warn, text: "agent lost, state of its tasks unknown" },
    AgentEjected: { number: 8512, level: LogLevel.Warn, text: "agent ejected for a while, several jobs failed there" },
    EndpointChanged: {
        number: 8513,
        level: LogLevel.Info,
        text: "endpoint of an agent, or whether it accepts, changed",
    },
    InputLate: {
        number: 8514,
        level: LogLevel.Warn,
        text: "process is late to read its input, entry leases end earlier and no tasks are placed meanwhile",
    },
    InputPrompt: { number: 8515, level: LogLevel.Info, text: "process reads its input in time again" },
    RoutesApplied: { number: 8520, level: LogLevel.Info, text: "routing document of a higher version applied" },
    Draining: { number: 8521, level: LogLevel.Info, text: "entry drains, reports not ready, waits for its open jobs" },
} as const satisfies Record<string, LogEvent>;
