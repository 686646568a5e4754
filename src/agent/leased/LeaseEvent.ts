import type { LogEvent } from "../../common/log/LogEvent.js";
import { LogLevel } from "../../common/log/LogLevel.js";

/** Log events 8000 to 8499: agents that run tasks under leases. */
export const LeaseEvent = {
    EndpointFound: { number: 8001, level: LogLevel.Info, text: "endpoint announced itself" },
    EndpointAnswers: { number: 8002, level: LogLevel.Info, text: "endpoint answers" },
    EndpointLost: { number: 8003, level: LogLevel.Warn, text: "endpoint lost, nothing runs there" },
    EndpointState: { number: 8004, level: LogLevel.Info, text: "endpoint changed its state" },
    HeartbeatIgnored: {
        number: 8005,
        level: LogLevel.Info,
        text: "heartbeat of an older life or out of order ignored",
    },
    HeartbeatUnreadable: { number: 8006, level: LogLevel.Warn, text: "heartbeat cannot be read and names no endpoint" },
    EndpointRecalled: { number: 8008, level: LogLevel.Info, text: "endpoint recalled from the store, trying it" },
    MemoryUnreadable: { number: 8030, level: LogLevel.Warn, text: "stored report of the endpoint cannot be read" },
    MemoryNotWritten: {
        number: 8031,
        level: LogLevel.Info,
        text: "report of the endpoint not stored, trying again later",
    },
    FenceRaised: { number: 8007, level: LogLevel.Warn, text: "endpoint has seen a higher fence, raising it" },
    OrderTaken: { number: 8010, level: LogLevel.Info, text: "order taken" },
    RunEnded: { number: 8011, level: LogLevel.Info, text: "run ended" },
    StartUnanswered: { number: 8012, level: LogLevel.Warn, text: "start unanswered, settling it" },
    StartRejected: { number: 8013, level: LogLevel.Info, text: "start rejected by the endpoint" },
    StrangerStopped: { number: 8014, level: LogLevel.Warn, text: "stopping a run that no entry here has ordered" },
    StopRepeated: { number: 8015, level: LogLevel.Warn, text: "stop not confirmed, repeating it" },
    TenureLapsed: { number: 8016, level: LogLevel.Warn, text: "entry not heard in time, stopping its runs" },
    LookMissed: { number: 8017, level: LogLevel.Info, text: "look at the run list not answered with one" },
    StopSettled: { number: 8018, level: LogLevel.Info, text: "run list asked for, to settle an unconfirmed run" },
    StartRepeated: { number: 8019, level: LogLevel.Info, text: "starting the task again under the next number" },
    EntryAttached: { number: 8020, level: LogLevel.Info, text: "attached to an entry" },
    EntryDetached: { number: 8021, level: LogLevel.Warn, text: "connection to an entry lost" },
    EntryUnreachable: { number: 8022, level: LogLevel.Info, text: "entry cannot be reached" },
    RoutesTaken: { number: 8023, level: LogLevel.Info, text: "routing document of a higher version taken" },
    EntriesWanted: { number: 8025, level: LogLevel.Info, text: "number of entries to be attached to changed" },
    Stopping: { number: 8024, level: LogLevel.Info, text: "agent stops, no new orders" },
} as const satisfies Record<string, LogEvent>;
