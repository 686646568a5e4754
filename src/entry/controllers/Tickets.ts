import type { Clock } from "../../common/Clock.js";
import type { ConfigurationView } from "../../common/configuration/ConfigurationView.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { Log } from "../../common/log/Log.js";
import type { Random } from "../../common/Random.js";
import type { TicketCodec } from "../../common/ticket/TicketCodec.js";
import { Verdict } from "../../common/Verdict.js";
import type { AgentAddress } from "../../common/wire/AgentAddress.js";
import { EntryEvent } from "../EntryEvent.js";
import type { EntryIdentity } from "../EntryIdentity.js";
import type { MemberView } from "../MemberView.js";
import type { PeerCalls } from "../PeerCalls.js";
import { Limits } from "./Limits.js";
import { TicketLedger } from "./TicketLedger.js";

const MAX_BATCH = 1000;
const MAX_TICKET_AGENTS = 64;
const PEER_TIMEOUT_MS = 2000;
const NO_AGENTS_RETRY_MS = 1000;
const ISSUE_METHOD = "tickets.issue";

interface Parts {
    readonly clock: Clock;
    readonly log: Log;
    readonly random: Random;
    readonly identity: EntryIdentity;
    readonly members: MemberView;
    readonly peers: PeerCalls;
    readonly configuration: ConfigurationView;
    readonly codec: TicketCodec;
    readonly attached: (service: string) => readonly AgentAddress[];
}

/** Issues tickets at the home of a service's shard and knows the fate of this entry's sequence numbers. */
export class Tickets {
    public static readonly maxBatch = MAX_BATCH;
    public static readonly lifetimeMs = TicketLedger.lifetimeMs;
    private readonly limits: Limits;
    private ledger: TicketLedger;
    private draining = false;

    constructor(private readonly parts: Parts) {
        this.limits = new Limits(parts.configuration);
        this.ledger = new TicketLedger(parts.clock);
        parts.identity.onRenew(() => {
            this.ledger = new TicketLedger(parts.clock);
        });
        parts.peers.serve(ISSUE_METHOD, body => Promise.resolve(this.issueForPeer(body)));
    }

    /** Issues tickets at the home of a random shard; falls back to this entry's own agents when the home cannot. */
    public async issue(service: string, team: string, count: number): Promise<readonly string[]> {
        const refusal = this.refuseIssue(service);
        if (refusal !== undefined) {
            this.parts.log.write(EntryEvent.TicketsRefused, { service, team, reason: refusal.message });
            throw refusal;
        }
        const shards = this.parts.configuration.service(service)?.shards ?? 1;
        const shard = Math.floor(this.parts.random.next() * shards);
        const home = this.parts.members.home(service, shard);
        if (home === undefined || home.incarnation === this.parts.identity.current.incarnation) {
            return this.issueHere(service, team, count);
        }
        this.parts.log.write(EntryEvent.TicketsRelayed, { service, team, count, shard, home: home.id });
        try {
            const body = { service, team, count };
            const reply = await this.parts.peers.call(
                home.address,
                home.incarnation,
                ISSUE_METHOD,
                body,
                PEER_TIMEOUT_MS,
            );
            return reply as readonly string[];
        }
        catch (error) {
            if (this.parts.attached(service).length > 0) {
                return this.issueHere(service, team, count);
            }
            throw toRefusal(error);
        }
    }

    /** Reason why a sequence number of the current incarnation may not be used, if any. */
    public refusal(sequence: number): Fault | undefined {
        return this.ledger.refusal(sequence);
    }

    public use(sequence: number): void {
        this.ledger.use(sequence);
    }

    /** Issues no tickets from now on. */
    public drain(): void {
        this.draining = true;
    }

    private refuseIssue(service: string): Fault | undefined {
        return this.draining
            ? new Fault(FaultCode.Draining, "this entry is leaving; use another one", Verdict.NotRun, 0)
            : this.limits.unknownService(service);
    }

    private issueForPeer(body: unknown): readonly string[] {
        const { service, team, count } = body as { service: string; team: string; count: number; };
        const refusal = this.refuseIssue(service);
        if (refusal !== undefined) {
            throw refusal;
        }
        return this.issueHere(service, team, Math.min(MAX_BATCH, count));
    }

    private issueHere(service: string, team: string, count: number): readonly string[] {
        const agents = this.pickAgents(service);
        if (agents.length === 0) {
            this.parts.log.write(EntryEvent.TicketsRefused, { service, team, reason: FaultCode.NoAgents });
            const message = `no agent of service ${service} is attached to its home entry`;
            throw new Fault(FaultCode.NoAgents, message, Verdict.NotRun, NO_AGENTS_RETRY_MS);
        }
        const first = this.ledger.issue(count);
        const { incarnation: issuer, address } = this.parts.identity.current;
        this.parts.log.write(EntryEvent.TicketsIssued, { service, team, count, first, agents: agents.length });
        return Array.from({ length: count }, (_, index) => {
            return this.parts.codec.encode({ issuer, address, sequence: first + index, service, team, agents });
        });
    }

    /** All attached agents, or a random choice of them when there are more than a ticket can name. */
    private pickAgents(service: string): readonly AgentAddress[] {
        const agents = [...this.parts.attached(service)];
        while (agents.length > MAX_TICKET_AGENTS) {
            agents.splice(Math.floor(this.parts.random.next() * agents.length), 1);
        }
        return agents;
    }
}

/** A ticket request starts nothing, so its failure is always `not_run`. */
function toRefusal(error: unknown): Fault {
    if (error instanceof Fault) {
        return new Fault(error.code, error.message, Verdict.NotRun, error.retryAfterMs ?? NO_AGENTS_RETRY_MS);
    }
    return new Fault(FaultCode.Internal, "the home entry could not issue tickets", Verdict.NotRun, NO_AGENTS_RETRY_MS);
}
