import type { FaultCode } from "../FaultCode.js";
import type { LeaseMessage } from "../leased/LeaseMessage.js";
import type { Verdict } from "../Verdict.js";
import type { Hello } from "./Hello.js";
import type { Member } from "./Member.js";
import type { Outcome } from "./Outcome.js";
import type { TaskRecord } from "./TaskRecord.js";

/** Identifies a ticket between processes: incarnation of the issuer, and sequence number. */
interface TicketKey {
    readonly issuer: string;
    readonly sequence: number;
}

/** Agent to entry: registers the endpoint of the agent; the first message after the handshake. */
interface Attach {
    readonly kind: "attach";
    readonly service: string;
    readonly rack: string;
    readonly slots: number;
    readonly connections: number;
}

/** Entry to agent: response to `attach`. A refused agent tries the next entry. */
interface Attached {
    readonly kind: "attached";
    readonly accepted: boolean;
    readonly reason?: string | undefined;
}

/** Agent to entry: grants `count` further slots. */
interface Credit {
    readonly kind: "credit";
    readonly count: number;
}

/** Agent to entry: requests up to `count` unused slots back. */
interface Reclaim {
    readonly kind: "reclaim";
    readonly count: number;
}

/** Entry to agent: returns `count` unused slots. */
interface Release {
    readonly kind: "release";
    readonly count: number;
}

/** Entry to agent: starts one attempt of a task and uses one credit. Only the issuer of the ticket sends it. */
interface Start extends TicketKey {
    readonly kind: "start";
    readonly task: number;
    readonly attempt: number;
    readonly payload: unknown;
    /** Short digest of the submission; agents keep it with the records of the ticket. */
    readonly digest: string;
    /** Time left until the job's deadline, in milliseconds. */
    readonly budgetMs: number;
    readonly repeatable: boolean;
    /** Number of tasks queued at the entry; the agent divides its slots among entries by this number. */
    readonly queued: number;
}

/** Agent to entry: final result of an attempt. `credit` says whether the slot is granted again. */
interface OutcomeReport extends TicketKey {
    readonly kind: "outcome";
    readonly outcome: Outcome;
    readonly credit: boolean;
}

/** Entry to agent: stops a running task if the endpoint can do so, or all tasks of the ticket when `task` is absent. */
interface Cancel extends TicketKey {
    readonly kind: "cancel";
    readonly task?: number | undefined;
}

/**
 * Entry to agent: resolves an attempt whose outcome is unknown. An agent without a record of the attempt writes a
 * tombstone and responds with an outcome `not_run`. For a finished attempt it responds with the outcome, for a running
 * one with `revoked`.
 */
interface Revoke extends TicketKey {
    readonly kind: "revoke";
    readonly task: number;
    readonly attempt: number;
}

/** Agent to entry: the attempt of a `revoke` is running and its outcome will follow. */
interface Revoked extends TicketKey {
    readonly kind: "revoked";
    readonly task: number;
    readonly attempt: number;
}

/** Entry to agent: fences a ticket permanently and requests its records. Any entry may send it. */
interface Settle extends TicketKey {
    readonly kind: "settle";
    /** Incarnation of the agent that holds the records; another incarnation responds with `complete: false`. */
    readonly agent: string;
}

/** Agent to entry: response to `settle`; outcomes of running tasks follow as `outcome` with `credit: false`. */
interface Records extends TicketKey {
    readonly kind: "records";
    /** False when records of this ticket may have been dropped. */
    readonly complete: boolean;
    /** Digest of the submission whose tasks are recorded; absent when no task was started at this agent. */
    readonly digest?: string | undefined;
    readonly tasks: readonly TaskRecord[];
}

/** Agent to entry: this incarnation of the entry may never start a task here again. */
interface Fenced {
    readonly kind: "fenced";
    readonly issuer: string;
}

/** Either side, on an attached connection that was idle for a second: heartbeat with values to report. */
interface Heartbeat {
    readonly kind: "heartbeat";
    /** Entry: number of queued tasks. Agent: number of running tasks. */
    readonly load: number;
    /**
     * Document revision in force at the sender, 0 for none. An agent that does not have the whole document keeps
     * reporting an old revision.
     */
    readonly revision: number;
    /** Agent: revision of the section of its service. */
    readonly section?: number | undefined;
}

/**
 * Either side, on an attached connection that was idle for a second: heartbeat with nothing new to report. Its frame
 * has no body.
 */
interface Alive {
    readonly kind: "alive";
}

/** Agent to entry: accepts no further starts; running tasks finish and are reported. */
interface Drain {
    readonly kind: "drain";
    readonly reason: string;
}

/** Entry to entry as gossip, and entry to agent: member rows known to the sender. */
interface Members {
    readonly kind: "members";
    readonly rows: readonly Member[];
    /**
     * Digest of the rows that the receiver may have, as triples: tag of the member, counter, and twice the revision
     * plus 1 when draining.
     */
    readonly beats?: readonly number[] | undefined;
    /** True when the message starts a gossip exchange; `beats` then contains the sender. */
    readonly begins?: boolean | undefined;
    /** Tags in `beats` of the message that this one responds to, whose rows the sender does not have. */
    readonly unknown?: readonly number[] | undefined;
}

/** Either side: requests the configuration sections that were changed after document revision `since`. */
interface Pull {
    readonly kind: "pull";
    readonly since: number;
}

/**
 * Response to `pull`, and entry to agent after a change. The revision of a section is the document revision of its last
 * change.
 */
interface Configuration {
    readonly kind: "configuration";
    readonly revision: number;
    readonly sections: readonly {
        readonly team: string;
        readonly revision: number;
        readonly body: unknown;
    }[];
    /**
     * True when only the section of the receiver's service is included; `revision` then says nothing about other
     * sections.
     */
    readonly partial?: boolean | undefined;
}

/** Entry to entry: a request, answered by one `reply`. */
interface Call {
    readonly kind: "call";
    readonly id: number;
    readonly method: string;
    readonly body: unknown;
}

/** Entry to entry: response to a `call`. */
interface Reply {
    readonly kind: "reply";
    readonly id: number;
    readonly body?: unknown;
    readonly fault?:
        | {
            readonly code: FaultCode;
            readonly message: string;
            readonly verdict: Verdict;
            readonly retryAfterMs?: number | undefined;
            readonly path?: string | undefined;
        }
        | undefined;
}

/** Either side: the last message before an orderly close. */
interface Goodbye {
    readonly kind: "goodbye";
    readonly reason: string;
}

/** Union of all messages between processes, discriminated by `kind`. */
export type Message =
    | Hello
    | Attach
    | Attached
    | Credit
    | Reclaim
    | Release
    | Start
    | OutcomeReport
    | Cancel
    | Revoke
    | Revoked
    | Settle
    | Records
    | Fenced
    | Heartbeat
    | Alive
    | Drain
    | Members
    | Pull
    | Configuration
    | Call
    | Reply
    | Goodbye
    | LeaseMessage;
