import type { LogEvent } from "../common/log/LogEvent.js";
import { LogLevel } from "../common/log/LogLevel.js";

/** Log events 2000 to 2999: decisions of an agent. */
export const AgentEvent = {
    Started: { number: 2001, level: LogLevel.Info, text: "agent started" },
    DrainBegun: { number: 2002, level: LogLevel.Info, text: "agent draining, no new starts" },
    DrainEnded: { number: 2003, level: LogLevel.Info, text: "agent drain ended" },
    EndpointAnnounced: { number: 2010, level: LogLevel.Info, text: "endpoint announced" },
    EndpointWithdrawn: { number: 2011, level: LogLevel.Info, text: "endpoint withdrawn" },
    EndpointDead: { number: 2012, level: LogLevel.Warn, text: "endpoint does not accept connections, withdrawing it" },
    AnnouncementRefused: { number: 2013, level: LogLevel.Warn, text: "announcement refused" },
    AttachBegun: { number: 2020, level: LogLevel.Debug, text: "attaching to entry" },
    Attached: { number: 2021, level: LogLevel.Info, text: "attached to entry" },
    AttachFailed: { number: 2022, level: LogLevel.Warn, text: "attach failed, backing off" },
    Detached: { number: 2023, level: LogLevel.Info, text: "detached from entry" },
    HomeChanged: { number: 2024, level: LogLevel.Info, text: "home entry changed, retiring the old attachment" },
    SeedUnreachable: { number: 2025, level: LogLevel.Warn, text: "seed entry unreachable, backing off" },
    ProtocolViolation: { number: 2026, level: LogLevel.Warn, text: "unexpected message ignored" },
    TaskStarted: { number: 2030, level: LogLevel.Debug, text: "task started" },
    TaskEnded: { number: 2031, level: LogLevel.Debug, text: "task ended" },
    StartRefused: { number: 2032, level: LogLevel.Info, text: "start of a task refused" },
    StartRepeated: {
        number: 2033,
        level: LogLevel.Info,
        text: "start of an attempt that is already on record, not started again",
    },
    TaskCancelled: { number: 2034, level: LogLevel.Debug, text: "running task cancelled" },
    OutcomeKept: {
        number: 2035,
        level: LogLevel.Info,
        text: "no channel to the issuer, outcome kept for later delivery",
    },
    OutcomesDelivered: { number: 2036, level: LogLevel.Info, text: "kept outcomes delivered" },
    AttemptRevoked: { number: 2040, level: LogLevel.Info, text: "revoke of an attempt answered" },
    TicketSettled: { number: 2041, level: LogLevel.Info, text: "ticket fenced, records sent" },
    SettleMisdirected: {
        number: 2042,
        level: LogLevel.Info,
        text: "settle for another agent incarnation answered without records",
    },
    ConfigurationAdopted: { number: 2050, level: LogLevel.Info, text: "configuration replica updated" },
} as const satisfies Record<string, LogEvent>;
