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
import { SubmissionLimits } from "./SubmissionLimits.js";
import { TicketLedger } from "./TicketLedger.js";

const MAX_BATCH = 1000;
const MAX_TICKET_AGENTS = 64;
const PEER_TIMEOUT_MS = 2000;
const NO_AGENTS_RETRY_MS = 1000;
const ISSUE_METHOD = "tickets.issue";

interface Dependencies {
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

/** Issues tickets at the home entry of a service's shard, and tracks the use of this entry's sequence numbers. */
export class TicketIssuer {
    public static readonly maxBatch = MAX_BATCH;
    public static readonly lifetimeMs = TicketLedger.lifetimeMs;
    private readonly limits: SubmissionLimits;
    private ledger: TicketLedger;
    private draining = false;

    constructor(private readonly dependencies: Dependencies) {
        this.limits = new SubmissionLimits(dependencies.configuration);
        this.ledger = new TicketLedger(dependencies.clock);
        dependencies.identity.onRenew(() => {
            this.ledger = new TicketLedger(dependencies.clock);
        });
        dependencies.peers.serve(ISSUE_METHOD, body => Promise.resolve(this.issueForPeer(body)));
    }

    /** Gets tickets from the home entry of a random shard; if that fails, issues them for the agents attached here. */
    public async issue(service: string, team: string, count: number): Promise<readonly string[]> {
        const refusal = this.refuseIssue(service);
        if (refusal !== undefined) {
            this.dependencies.log.write(EntryEvent.TicketsRefused, { service, team, reason: refusal.message });
            throw refusal;
        }
        const shards = this.dependencies.configuration.service(service)?.shards ?? 1;
        const shard = Math.floor(this.dependencies.random.next() * shards);
        const home = this.dependencies.members.home(service, shard);
        if (home === undefined || home.incarnation === this.dependencies.identity.current.incarnation) {
            return this.issueHere(service, team, count);
        }
        this.dependencies.log.write(EntryEvent.TicketsRelayed, { service, team, count, shard, home: home.id });
        try {
            const body = { service, team, count };
            const reply = await this.dependencies.peers.call(
                home.address,
                home.incarnation,
                ISSUE_METHOD,
                body,
                PEER_TIMEOUT_MS,
            );
            return reply as readonly string[];
        }
        catch (error) {
            if (this.dependencies.attached(service).length > 0) {
                return this.issueHere(service, team, count);
            }
            throw toRefusal(error);
        }
    }

    /** Fault that explains why a sequence number of the current incarnation may not be used; undefined when it may. */
    public refusal(sequence: number): Fault | undefined {
        return this.ledger.refusal(sequence);
    }

    public use(sequence: number): void {
        this.ledger.use(sequence);
    }

    /** Refuses requests for tickets from now on. */
    public drain(): void {
        this.draining = true;
    }

    private refuseIssue(service: string): Fault | undefined {
        return this.draining
            ? new Fault(FaultCode.Draining, "this entry is draining; use another one", Verdict.NotRun, 0)
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
            this.dependencies.log.write(EntryEvent.TicketsRefused, { service, team, reason: FaultCode.NoAgents });
            const message = `no agent of service ${service} is attached to its home entry`;
            throw new Fault(FaultCode.NoAgents, message, Verdict.NotRun, NO_AGENTS_RETRY_MS);
        }
        const first = this.ledger.issue(count);
        const { incarnation: issuer, address } = this.dependencies.identity.current;
        this.dependencies.log.write(EntryEvent.TicketsIssued, { service, team, count, first, agents: agents.length });
        return Array.from({ length: count }, (_, index) => {
            return this.dependencies.codec.encode({ issuer, address, sequence: first + index, service, team, agents });
        });
    }

    /** All attached agents, or a random choice of them when there are more than a ticket can name. */
    private pickAgents(service: string): readonly AgentAddress[] {
        const agents = [...this.dependencies.attached(service)];
        while (agents.length > MAX_TICKET_AGENTS) {
            agents.splice(Math.floor(this.dependencies.random.next() * agents.length), 1);
        }
        return agents;
    }
}

/** A ticket request starts no task, so the verdict of its failure is always `not_run`. */
function toRefusal(error: unknown): Fault {
    if (error instanceof Fault) {
        return new Fault(error.code, error.message, Verdict.NotRun, error.retryAfterMs ?? NO_AGENTS_RETRY_MS);
    }
    return new Fault(FaultCode.Internal, "the home entry could not issue tickets", Verdict.NotRun, NO_AGENTS_RETRY_MS);
}
