import type { Clock } from "../../common/Clock.js";
import type { ConfigurationFault } from "../../common/configuration/ConfigurationFault.js";
import type { ConfigurationStore } from "../../common/configuration/ConfigurationStore.js";
import type { TeamSection } from "../../common/configuration/TeamSection.js";
import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { Log } from "../../common/log/Log.js";
import type { Random } from "../../common/Random.js";
import { rendezvousRank } from "../../common/rendezvousRank.js";
import type { Table } from "../../common/table/Table.js";
import { Verdict } from "../../common/Verdict.js";
import type { Message } from "../../common/wire/Message.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { AttachedAgents } from "../AttachedAgents.js";
import { ClusterEvent } from "../ClusterEvent.js";
import { AgentPusher } from "../configuration/AgentPusher.js";
import type { ChangeResult } from "../configuration/ChangeResult.js";
import { ConfigurationRows } from "../configuration/ConfigurationRows.js";
import type { ConfigurationStatus } from "../configuration/ConfigurationStatus.js";
import { ConfigurationWriter } from "../configuration/ConfigurationWriter.js";
import { HeadReader } from "../configuration/HeadReader.js";
import { resolveChange } from "../configuration/resolveChange.js";
import type { ResolvedChange } from "../configuration/ResolvedChange.js";
import type { WriteToken } from "../configuration/WriteToken.js";
import type { MemberRows } from "../MemberRows.js";
import type { PeerMessage } from "../PeerMessage.js";
import type { PeerMessages } from "../PeerMessages.js";

const TICK_MS = 1000;

/** Number of entries per region that read the head row on every tick. */
const POLLER_COUNT = 2;

/** An entry that has received no revisions from its peers for this time reads the head row itself. */
const PEER_TIMEOUT_MS = 6000;

/** Every entry reads the head row at least this often, in case both pollers are cut off from the store. */
const MAX_POLL_INTERVAL_MS = 10_000;

const RETRY_AFTER_MS = 1000;

interface ConfigurationOptions {
    readonly store: ConfigurationStore;
    /** Undefined for an entry without a platform, which gets the document from peers and agents only. */
    readonly table: Table | undefined;
    readonly members: MemberRows;
    readonly peers: PeerMessages;
    readonly agents: AttachedAgents;
    /** Id of this entry. */
    readonly id: string;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
}

/** Applies operators' configuration changes and distributes them between the store, the entries and the agents. */
export class ConfigurationManager implements Disposable {
    private readonly registrations = new DisposableStore();
    private readonly rows: ConfigurationRows | undefined;
    private readonly head: HeadReader | undefined;
    private readonly writer: ConfigurationWriter | undefined;
    private readonly pusher: AgentPusher;
    private gossipReceivedAt: number;

    constructor(private readonly options: ConfigurationOptions) {
        const { table, store, clock, log } = options;
        this.gossipReceivedAt = clock.now();
        this.pusher = new AgentPusher(store, options.agents, clock);
        if (table !== undefined) {
            const rows = new ConfigurationRows(table);
            const head = new HeadReader(rows, store, clock, log);
            this.rows = rows;
            this.head = head;
            this.writer = new ConfigurationWriter(rows, store, () => head.readToHead(), log);
        }
    }

    /** Starts the distribution; resolves after the first attempt to read the store, even if that attempt fails. */
    public async start(): Promise<void> {
        const { peers, members, clock } = this.options;
        this.registrations.add(peers.onMessage(received => {
            this.receivePeer(received);
        }));
        this.registrations.add(members.onChange(() => {
            this.pull();
        }));
        let cancel = () => {};
        const next = () => {
            cancel = clock.schedule(TICK_MS, () => {
                next();
                this.tick();
            });
        };
        next();
        this.registrations.add({
            dispose: () => {
                cancel();
            },
        });
        await this.head?.poll();
        this.pull();
    }

    /** Fault that refuses all work until this process has a document; undefined from then on. */
    public refusal(): Fault | undefined {
        return this.options.store.revision > 0 ? undefined : new Fault(
            FaultCode.NoConfiguration,
            "this entry has no configuration yet",
            Verdict.NotRun,
            RETRY_AFTER_MS,
        );
    }

    /** Writes a section if it still has revision `base`, which is 0 for a section that does not exist yet. */
    public put(team: string, base: number, body: unknown): Promise<ChangeResult> {
        return this.adoptAfter(this.writer?.put(team, base, body) ?? noStore());
    }

    /** Deletes a section if it still has revision `base`. */
    public delete(team: string, base: number): Promise<ChangeResult> {
        return this.adoptAfter(this.writer?.delete(team, base) ?? noStore());
    }

    /** Determines whether the change with this token was applied; rejects while the store is unavailable. */
    public resolveChange(token: WriteToken): Promise<ResolvedChange> {
        return this.rows === undefined
            ? Promise.reject(new Fault(FaultCode.StoreUnavailable, "no store is configured", Verdict.MayHaveRun))
            : resolveChange(this.rows, token);
    }

    /** Conflicts between a valid section and the sections of other teams. */
    public findConflicts(section: TeamSection): readonly ConfigurationFault[] {
        return this.writer?.findConflicts(section) ?? [];
    }

    /** Revisions in force in the store, at the entries and at the agents, as far as this entry knows. */
    public status(): ConfigurationStatus {
        const { store, members, id } = this.options;
        const toReplica = (row: { readonly id: string; readonly revision: number; }) => {
            return { id: row.id, revision: row.id === id ? store.revision : row.revision };
        };
        const entryRows = members.rows().map(toReplica);
        const agentRows = this.pusher.revisions();
        const replicas = [...entryRows, ...agentRows];
        const stored = this.head?.lastRevision;
        const newest = Math.max(stored ?? 0, store.revision, ...replicas.map(replica => replica.revision));
        return {
            newest,
            stored,
            storedAgeMs: this.head?.ageMs(),
            entries: entryRows,
            agents: agentRows,
            lagging: replicas.filter(replica => replica.revision < newest).map(replica => replica.id),
        };
    }

    /** Handles `pull` and `configuration` from a peer or an agent. */
    public receive(
        message: MessageOf<"pull" | "configuration">,
        sender: string,
        reply: (message: Message) => boolean,
    ): void {
        const { store, log } = this.options;
        if (message.kind === "pull") {
            reply(store.changesSince(message.since));
            return;
        }
        const before = store.revision;
        for (const team of store.adopt(message.revision, message.sections)) {
            log.write(ClusterEvent.SectionInvalid, { team, sender });
        }
        if (store.revision > before) {
            log.write(ClusterEvent.ConfigurationAdopted, { revision: store.revision, from: sender });
            this.pull();
        }
    }

    public dispose(): void {
        this.registrations.dispose();
    }

    private receivePeer({ message, peer, reply }: PeerMessage): void {
        if (message.kind === "members") {
            this.gossipReceivedAt = this.options.clock.now();
            return;
        }
        this.receive(message, peer.id, reply);
    }

    private tick(): void {
        if (this.mustPoll()) {
            void this.head?.poll();
        }
        this.pull();
        this.pusher.push();
    }

    private mustPoll(): boolean {
        const now = this.options.clock.now();
        const ids = this.options.members.live().map(member => member.id);
        const pollers = rendezvousRank("config", ids).slice(0, POLLER_COUNT);
        return pollers.includes(this.options.id)
            || now - this.gossipReceivedAt > PEER_TIMEOUT_MS
            || now - (this.head?.lastAttemptAt ?? 0) > MAX_POLL_INTERVAL_MS;
    }

    /**
     * Reads an applied change back, so that it is in force here before the operator gets the reply, if the store
     * answers.
     */
    private async adoptAfter(change: Promise<ChangeResult>): Promise<ChangeResult> {
        const result = await change;
        if (result.kind === "applied") {
            await this.head?.poll();
            this.pusher.push();
        }
        return result;
    }

    /** Requests the missing changes from a peer that reports a newer revision, or from an agent when no peer does. */
    private pull(): void {
        const { store, members, peers, agents, id, log } = this.options;
        const request = { kind: "pull", since: store.revision } as const;
        const peer = this.pickRandom(members.rows().filter(row => row.id !== id && row.revision > store.revision));
        if (peer !== undefined) {
            void peers.send(peer.address, request).then(sent => {
                if (!sent) {
                    log.write(ClusterEvent.PullFailed, { peer: peer.id });
                }
            });
            return;
        }
        const agent = this.pickRandom(agents.attached().filter(({ revision }) => revision > store.revision));
        agent?.send(request);
    }

    private pickRandom<T>(candidates: readonly T[]): T | undefined {
        return candidates[Math.floor(this.options.random.next() * candidates.length)];
    }
}

function noStore(): Promise<ChangeResult> {
    const fault = new Fault(FaultCode.StoreUnavailable, "no store is configured", Verdict.NotRun);
    return Promise.resolve({ kind: "refused", fault });
}
