import type { LogEvent } from "../common/log/LogEvent.js";
import { LogLevel } from "../common/log/LogLevel.js";

/** Log events 6000 to 6999: configuration, members and connections between entries. */
export const ClusterEvent = {
    ConfigurationAdopted: { number: 6001, level: LogLevel.Info, text: "configuration adopted" },
    SectionInvalid: { number: 6002, level: LogLevel.Error, text: "section is invalid and was not adopted" },
    StoreBehind: { number: 6003, level: LogLevel.Error, text: "store has an older revision, kept the newer one" },
    StoreUnavailable: { number: 6004, level: LogLevel.Warn, text: "store unavailable" },
    StoreAvailable: { number: 6005, level: LogLevel.Info, text: "store available again" },
    ChangeApplied: { number: 6006, level: LogLevel.Info, text: "configuration change applied" },
    ChangeRefused: { number: 6007, level: LogLevel.Info, text: "configuration change refused" },
    ReplyLost: { number: 6008, level: LogLevel.Warn, text: "reply of the store lost, reading the write token" },
    ChangeOutcomeUnknown: { number: 6009, level: LogLevel.Error, text: "outcome of a configuration change unknown" },
    PullFailed: { number: 6010, level: LogLevel.Debug, text: "configuration pull not sent, peer unreachable" },
    MemberJoined: { number: 6101, level: LogLevel.Info, text: "entry joined" },
    MemberLeft: { number: 6102, level: LogLevel.Warn, text: "entry is no longer live" },
    MemberReplaced: { number: 6103, level: LogLevel.Info, text: "entry has a new incarnation" },
    MemberDraining: { number: 6104, level: LogLevel.Info, text: "entry is draining" },
    IdContested: { number: 6105, level: LogLevel.Warn, text: "another process used this entry's id" },
    LeaseFailed: { number: 6106, level: LogLevel.Warn, text: "lease row not written or read" },
    LeaseExpired: { number: 6107, level: LogLevel.Info, text: "lease row of a dead entry deleted" },
    PeerUnreachable: { number: 6201, level: LogLevel.Debug, text: "peer unreachable" },
    PeerIncarnation: { number: 6202, level: LogLevel.Info, text: "peer has another incarnation" },
    CallTimeout: { number: 6203, level: LogLevel.Warn, text: "call to a peer timed out" },
    CallHandlerFailed: { number: 6204, level: LogLevel.Error, text: "handler of a call failed" },
    MessageIgnored: { number: 6205, level: LogLevel.Warn, text: "unexpected message from a peer ignored" },
} as const satisfies Record<string, LogEvent>;
