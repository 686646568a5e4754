import type { FaultCode } from "../FaultCode.js";
import type { LeaseMessage } from "../leased/LeaseMessage.js";
import type { Verdict } from "../Verdict.js";
import type { Hello } from "./Hello.js";
import type { Member } from "./Member.js";
import type { Outcome } from "./Outcome.js";
import type { TaskRecord } from "./TaskRecord.js";

/** Ticket by issuer incarnation and sequence number, as used between processes. */
interface TicketKey {
    readonly issuer: string;
    readonly sequence: number;
}

/** Agent to entry: announces an agent's endpoint; first message after the handshake. */
interface Attach {
    readonly kind: "attach";
    readonly service: string;
    readonly rack: string;
    readonly slots: number;
    readonly connections: number;
}

/** Entry to agent: answer to `attach`. A refused agent tries the next entry. */
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

/** Agent to entry: asks for up to `count` unused slots back. */
interface Reclaim {
    readonly kind: "reclaim";
    readonly count: number;
}

/** Entry to agent: gives `count` unused slots back. */
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
    /** Tasks that wait at the entry for a slot; the agent shares its slots by it. */
    readonly queued: number;
}

/** Agent to entry: final result of an attempt; `credit` says whether the slot is granted again. */
interface OutcomeReport extends TicketKey {
    readonly kind: "outcome";
    readonly outcome: Outcome;
    readonly credit: boolean;
}

/** Entry to agent: stops a running task where the endpoint can, all tasks of the ticket when `task` is absent. */
interface Cancel extends TicketKey {
    readonly kind: "cancel";
    readonly task?: number | undefined;
}

/**
 * Entry to agent: settles an attempt of unknown fate. An agent without a record of the attempt writes a tombstone and
 * answers with an outcome `not_run`; a finished attempt is answered with its outcome; a running one with `revoked`.
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

/** Entry to agent: fences a ticket for good and asks for its records. Any entry may send it. */
interface Settle extends TicketKey {
    readonly kind: "settle";
    /** Incarnation of the agent that holds the records; another incarnation answers `complete: false`. */
    readonly agent: string;
}

/** Agent to entry: answer to `settle`; outcomes of running tasks follow as `outcome` with `credit: false`. */
interface Records extends TicketKey {
    readonly kind: "records";
    /** False when records of this ticket may have been dropped. */
    readonly complete: boolean;
    /** Digest of the submission whose tasks are on record; absent when no task was started here. */
    readonly digest?: string | undefined;
    readonly tasks: readonly TaskRecord[];
}

/** Agent to entry: this incarnation of the entry may never start a task here again. */
interface Fenced {
    readonly kind: "fenced";
    readonly issuer: string;
}

/** Both ways on an attached connection that was silent for a second, when there is something new to tell. */
interface Heartbeat {
    readonly kind: "heartbeat";
    /** Entry: tasks waiting for a slot. Agent: tasks running. */
    readonly load: number;
    /** Document revision in force at the sender, 0 for none; an agent without the whole document keeps telling an old one. */
    readonly revision: number;
    /** Agent: revision of the section of its service. */
    readonly section?: number | undefined;
}

/** Both ways on an attached connection that was silent for a second; a frame without a body. */
interface Alive {
    readonly kind: "alive";
}

/** Agent to entry: no new starts from now on; running tasks end and are reported. */
interface Drain {
    readonly kind: "drain";
    readonly reason: string;
}

/** Entry to entry as gossip, and entry to agent: member rows known to the sender. */
interface Members {
    readonly kind: "members";
    readonly rows: readonly Member[];
    /** Members whose rows the receiver may know, as triples: tag, counter, and twice the revision plus 1 when draining. */
    readonly beats?: readonly number[] | undefined;
    /** True when the message begins an exchange; it then has a beat of the sender. */
    readonly begins?: boolean | undefined;
    /** Tags from `beats` of the message that this one answers, whose rows the sender lacks. */
    readonly unknown?: readonly number[] | undefined;
}

/** Either side: asks for the configuration sections that were changed after document revision `since`. */
interface Pull {
    readonly kind: "pull";
    readonly since: number;
}

/** Answer to `pull`, and entry to agent after a change. A section's revision is the document revision of its last change. */
interface Configuration {
    readonly kind: "configuration";
    readonly revision: number;
    readonly sections: readonly {
        readonly team: string;
        readonly revision: number;
        readonly body: unknown;
    }[];
    /** True when only the section of the receiver's service is contained; `revision` then says nothing of the others. */
    readonly partial?: boolean | undefined;
}

/** Entry to entry: a request that its peer answers with one `reply`. */
interface Call {
    readonly kind: "call";
    readonly id: number;
    readonly method: string;
    readonly body: unknown;
}

/** Entry to entry: answer to a `call`. */
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

/** Every message between processes, told apart by `kind`. */
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
