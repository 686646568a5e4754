import type { LogEvent } from "../../common/log/LogEvent.js";
import { LogLevel } from "../../common/log/LogLevel.js";

/** Log events 8000 to 8499: agents that run tasks under leases. */
export const LeaseEvent = {
    EndpointFound: { number: 8001, level: LogLevel.Info, text: "new incarnation of the endpoint found" },
    IncarnationAnnounced: {
        number: 8036,
        level: LogLevel.Info,
        text: "heartbeat names another incarnation of the endpoint, polling it",
    },
    AnnouncementRefuted: {
        number: 8037,
        level: LogLevel.Warn,
        text: "another incarnation answers than the one that a heartbeat has named, heartbeat ignored",
    },
    EndpointAnswers: { number: 8002, level: LogLevel.Info, text: "endpoint answers polls" },
    EndpointLost: { number: 8003, level: LogLevel.Warn, text: "endpoint lost, its runs have ended" },
    EndpointState: { number: 8004, level: LogLevel.Info, text: "endpoint changed its draining state" },
    EndpointDeregistered: {
        number: 8009,
        level: LogLevel.Info,
        text: "endpoint deregistered, no new runs, polling it until its runs have ended",
    },
    HeartbeatIgnored: {
        number: 8005,
        level: LogLevel.Info,
        text: "heartbeat of an earlier incarnation, a deregistered endpoint or out of sequence, ignored",
    },
    HeartbeatUnreadable: {
        number: 8006,
        level: LogLevel.Warn,
        text: "heartbeat invalid or of another endpoint, ignored",
    },
    EndpointRestored: { number: 8008, level: LogLevel.Info, text: "stored report of the endpoint loaded, polling it" },
    StoredReportUnreadable: {
        number: 8030,
        level: LogLevel.Warn,
        text: "stored report of the endpoint invalid, ignored",
    },
    ReportNotStored: {
        number: 8031,
        level: LogLevel.Info,
        text: "report of the endpoint not stored, retrying after the next heartbeat",
    },
    FenceRaised: {
        number: 8007,
        level: LogLevel.Warn,
        text: "call rejected because the endpoint has seen a higher fence, raising the fence",
    },
    RunOrderReceived: { number: 8010, level: LogLevel.Info, text: "run order received" },
    RunEnded: { number: 8011, level: LogLevel.Info, text: "run ended" },
    StartUnanswered: { number: 8012, level: LogLevel.Warn, text: "start not answered, resolving its outcome" },
    StartRejected: { number: 8013, level: LogLevel.Info, text: "start rejected by the endpoint" },
    OrphanedRunStopped: {
        number: 8014,
        level: LogLevel.Warn,
        text: "stopping an orphaned run, which no attached entry has ordered",
    },
    StopRepeated: { number: 8015, level: LogLevel.Warn, text: "stop not confirmed, repeating it" },
    EntryLeaseExpired: {
        number: 8016,
        level: LogLevel.Warn,
        text: "entry lease expired, stopping the runs of the entry",
    },
    PollFailed: { number: 8017, level: LogLevel.Info, text: "poll of the run list failed" },
    UnconfirmedRunPolled: { number: 8018, level: LogLevel.Info, text: "run list polled to resolve an unconfirmed run" },
    StartRepeated: { number: 8019, level: LogLevel.Info, text: "starting the task again under the next run number" },
    ReportContradicted: {
        number: 8026,
        level: LogLevel.Warn,
        text: "run list shows a run of a task whose end was reported before",
    },
    ReturnDelayed: {
        number: 8032,
        level: LogLevel.Warn,
        text: "keeping a task until its unanswered start is ruled out",
    },
    ReturnedUnresolved: {
        number: 8035,
        level: LogLevel.Warn,
        text: "returning a task whose unanswered start is not ruled out, its endpoint has not answered in time",
    },
    EntryAttached: { number: 8020, level: LogLevel.Info, text: "attached to an entry" },
    EntryDetached: { number: 8021, level: LogLevel.Warn, text: "connection to an entry closed" },
    EntryUnreachable: {
        number: 8022,
        level: LogLevel.Info,
        text: "entry unreachable, its address is dropped after the last attempt",
    },
    RoutesApplied: { number: 8023, level: LogLevel.Info, text: "routing document of a higher version applied" },
    EntryCountChanged: { number: 8025, level: LogLevel.Info, text: "wanted number of entry connections changed" },
    Draining: { number: 8024, level: LogLevel.Info, text: "agent draining, no new run orders" },
} as const satisfies Record<string, LogEvent>;
