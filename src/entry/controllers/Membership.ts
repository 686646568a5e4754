import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import { Emitter } from "../../common/Emitter.js";
import type { Log } from "../../common/log/Log.js";
import type { Random } from "../../common/Random.js";
import { rendezvousRank } from "../../common/rendezvousRank.js";
import type { Table } from "../../common/table/Table.js";
import type { Member } from "../../common/wire/Member.js";
import { ClusterEvent } from "../ClusterEvent.js";
import type { EntryIdentity } from "../EntryIdentity.js";
import type { MemberRows } from "../MemberRows.js";
import { GossipExchange } from "../membership/GossipExchange.js";
import { LeaseRows } from "../membership/LeaseRows.js";
import type { MemberChange } from "../membership/MemberChange.js";
import { MemberTable } from "../membership/MemberTable.js";
import { memberTag } from "../membership/memberTag.js";
import type { PeerMessage } from "../PeerMessage.js";
import type { PeerMessages } from "../PeerMessages.js";

const GOSSIP_INTERVAL_MS = 1000;
const LEASE_INTERVAL_MS = 10_000;

/** All lease rows are listed on every third renewal only, because a list of 30 rows is about 9 KB. */
const RENEWALS_PER_LIST = 3;

/** After this many gossip rounds, an address that is not a live member is contacted too, to rejoin separated groups. */
const CONTACT_EVERY_ROUNDS = 5;

const CHANGE_EVENTS = {
    joined: ClusterEvent.MemberJoined,
    replaced: ClusterEvent.MemberReplaced,
    draining: ClusterEvent.MemberDraining,
} as const satisfies Record<MemberChange, unknown>;

interface MembershipOptions {
    readonly identity: EntryIdentity;
    readonly peers: PeerMessages;
    /** Undefined for an entry without a platform, which discovers other entries through seeds only. */
    readonly table: Table | undefined;
    /** `ip:port` of entries that are contacted to discover the others. */
    readonly seeds: readonly string[];
    /** Configuration revision in force here. */
    readonly revision: () => number;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
}

/** Tracks by gossip which entries of this region are live; the store and the seeds serve only to discover entries. */
export class Membership implements MemberRows, Disposable {
    private readonly changes = new Emitter<void>();
    private readonly registrations = new DisposableStore();
    private readonly table = new MemberTable();
    private readonly exchange: GossipExchange;
    private readonly leaseRows: LeaseRows | undefined;
    private contactAddresses: ReadonlySet<string>;
    private counter = 1;
    private round = 0;
    private renewals = 0;
    private draining = false;
    private disposed = false;

    public readonly onChange = this.changes.event;

    constructor(private readonly options: MembershipOptions) {
        const { table, identity, clock, random, log } = options;
        this.exchange = new GossipExchange(this.table, random);
        this.leaseRows = table === undefined ? undefined : new LeaseRows(table, identity.current.region, clock, log);
        this.contactAddresses = new Set(options.seeds);
    }

    /** Starts gossip and the renewal of the lease row. Does not wait for the store. */
    public start(): void {
        this.registrations.add(this.options.peers.onMessage(received => {
            this.receive(received);
        }));
        this.repeat(GOSSIP_INTERVAL_MS, () => {
            this.gossip();
        });
        this.repeat(LEASE_INTERVAL_MS, () => {
            void this.renewLease();
        });
        this.gossip();
        void this.renewLease();
    }

    public live(): readonly Member[] {
        return this.rows().filter(row => !row.draining);
    }

    public rows(): readonly Member[] {
        return [this.self(), ...this.table.live()];
    }

    public home(service: string, shard: number): Member | undefined {
        const live = this.live();
        const key = `${this.self().region}/${service}/${shard}`;
        const best = rendezvousRank(key, live.map(row => row.id))[0];
        return live.find(row => row.id === best);
    }

    /** Announces to the other entries that this one accepts no new work. */
    public drain(): void {
        if (this.draining) {
            return;
        }
        this.draining = true;
        this.counter += 1;
        for (const row of this.table.live()) {
            this.sendRows(row.address);
        }
        void this.renewLease();
        this.changes.fire();
    }

    /** Stops gossip and deletes the lease row; the other entries notice that the counter no longer advances. */
    public async leave(): Promise<void> {
        this.dispose();
        await this.leaseRows?.remove(this.self().id);
    }

    public dispose(): void {
        this.disposed = true;
        this.registrations.dispose();
        this.changes.dispose();
    }

    private self(): Member {
        const { id, address, incarnation, region, failureDomain } = this.options.identity.current;
        return {
            id,
            address,
            incarnation,
            region,
            failureDomain,
            counter: this.counter,
            draining: this.draining,
            revision: this.options.revision(),
        };
    }

    private repeat(intervalMs: number, work: () => void): void {
        let cancel = () => {};
        const next = () => {
            cancel = this.options.clock.schedule(intervalMs, () => {
                next();
                work();
            });
        };
        next();
        this.registrations.add({
            dispose: () => {
                cancel();
            },
        });
    }

    private gossip(): void {
        this.counter += 1;
        this.round += 1;
        this.expire();
        const live = this.table.live();
        const peer = this.pickRandom(live.map(row => row.address));
        if (peer !== undefined) {
            this.sendRows(peer);
        }
        if (peer === undefined || this.round % CONTACT_EVERY_ROUNDS === 0) {
            this.contactOtherAddress(live);
        }
    }

    private contactOtherAddress(live: readonly Member[]): void {
        const known = new Set([this.self().address, ...live.map(row => row.address)]);
        const address = this.pickRandom([...this.contactAddresses].filter(candidate => !known.has(candidate)));
        if (address !== undefined) {
            this.sendRows(address);
        }
    }

    private expire(): void {
        const newlyDead = this.table.expire(this.options.clock.now());
        for (const { id, incarnation } of newlyDead) {
            this.options.log.write(ClusterEvent.MemberLeft, { id, incarnation });
        }
        if (newlyDead.length > 0) {
            this.changes.fire();
        }
    }

    private sendRows(address: string): void {
        void this.options.peers.send(address, this.exchange.createFirst(this.self()));
    }

    /** Merges what a peer sent and replies with the rows that the peer is missing. */
    private receive({ message, reply }: PeerMessage): void {
        if (message.kind !== "members" || this.disposed) {
            return;
        }
        const digests = this.exchange.readDigests(message);
        const own = memberTag(this.self());
        this.mergeAll([...this.exchange.rowsOf(message), ...digests.rows]);
        const answer = this.exchange.createReply(message, this.self(), digests.unknown.filter(tag => tag !== own));
        if (answer !== undefined) {
            reply(answer);
        }
    }

    private mergeAll(rows: readonly Member[]): void {
        let changed = false;
        for (const row of rows) {
            changed = this.merge(row) || changed;
        }
        if (changed) {
            this.changes.fire();
        }
    }

    private merge(row: Member): boolean {
        const self = this.self();
        if (row.region !== self.region) {
            return false;
        }
        if (row.id === self.id) {
            this.raiseCounterAbove(row, self);
            return false;
        }
        const change = this.table.merge(row, this.options.clock.now());
        if (change === undefined) {
            return false;
        }
        this.options.log.write(CHANGE_EVENTS[change], { id: row.id, incarnation: row.incarnation });
        return true;
    }

    /** Ensures that a row of another incarnation with this entry's id does not supersede the current one. */
    private raiseCounterAbove(row: Member, self: Member): void {
        if (row.incarnation === self.incarnation || row.counter < self.counter) {
            return;
        }
        this.counter = row.counter + 1;
        this.options.log.write(ClusterEvent.IdContested, { id: row.id, incarnation: row.incarnation });
    }

    /**
     * Renews the lease row. Contact addresses follow the listed rows, so those of dead entries are dropped with their
     * rows.
     */
    private async renewLease(): Promise<void> {
        const isAlone = this.table.live().length === 0;
        const list = isAlone || this.renewals % RENEWALS_PER_LIST === 0;
        this.renewals += 1;
        const rows = await this.leaseRows?.renew(this.self(), list);
        if (rows !== undefined) {
            this.contactAddresses = new Set([...this.options.seeds, ...rows.map(row => row.address)]);
        }
    }

    private pickRandom(addresses: readonly string[]): string | undefined {
        return addresses[Math.floor(this.options.random.next() * addresses.length)];
    }
}
