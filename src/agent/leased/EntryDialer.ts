import type { Clock } from "../../common/Clock.js";
import { CoalescingTimer } from "../../common/CoalescingTimer.js";
import type { Disposable } from "../../common/Disposable.js";
import type { Log } from "../../common/log/Log.js";
import { rendezvousRank } from "../../common/rendezvousRank.js";
import type { Channel } from "../../common/wire/Channel.js";
import { LeaseEvent } from "./LeaseEvent.js";

/** Delay of the first attempt after a connection was lost. */
const FIRST_RETRY_DELAY_MS = 60;

/**
 * Longest delay between attempts while the entry may be restarting, which takes some seconds if its whole failure
 * domain does.
 */
const RESTART_RETRY_DELAY_MS = 300;
const RESTART_TRIES = 20;

/** Longest delay between later attempts; entries that are gone for good are still tried at this rate. */
const MAX_RETRY_DELAY_MS = 1500;

/** Consecutive failed attempts after which an address is dropped: about a minute and a half. */
const MAX_TRIES = 80;

/** Consecutive failed attempts after which a further entry is used in its place; a restart causes fewer. */
const TRIES_UNTIL_REPLACED = 3;

/** Delay before entries are chosen, so that addresses that arrive one by one are ranked together. */
const RANK_DELAY_MS = 10;

/** Limit of entries tried at a time while many are unreachable, as a multiple of the wanted connections. */
const MAX_TRIED_FACTOR = 2;

/** Opens a channel to `ip:port`. */
type Dial = (address: string) => Promise<Channel>;

/** Owner of the connections that a dialer opens. */
interface ConnectionOwner {
    /** Takes over an open channel. */
    attach(channel: Channel): void;
    /** Closes a channel once nothing depends on it any more. */
    release(channel: Channel): void;
}

/** Entry whose address is known. */
interface KnownEntry {
    readonly address: string;
    /** Consecutive failed attempts. */
    tries: number;
    /** Whether a connection is being opened, or the delay before the next attempt is running. */
    busy: boolean;
    channel: Channel | undefined;
    /** Whether the owner has been asked to close the channel. */
    released: boolean;
}

/**
 * Keeps connections to a bounded number of the known entries: the first ones in this agent's rendezvous order, which
 * spreads agents evenly over the entries. While some of them cannot be reached, entries further down the order are used
 * in their place.
 */
export class EntryDialer implements Disposable {
    private readonly known = new Map<string, KnownEntry>();
    /** Known entries, highest rendezvous rank first. */
    private ranked: readonly KnownEntry[] = [];
    private readonly rankTimer: CoalescingTimer;
    private disposed = false;

    constructor(
        /** Id of this agent, the key of its rendezvous order. */
        private readonly id: string,
        private wanted: number,
        private readonly dial: Dial,
        private readonly owner: ConnectionOwner,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.rankTimer = new CoalescingTimer(clock, () => {
            this.rank();
            this.maintain();
        });
    }

    /** Number of known entries. */
    public get knownCount(): number {
        return this.known.size;
    }

    /** Adds addresses; known ones are ignored. */
    public addAddresses(addresses: readonly string[]): void {
        const fresh = addresses.filter(address => !this.known.has(address));
        if (fresh.length === 0) {
            return;
        }
        for (const address of fresh) {
            this.known.set(address, { address, tries: 0, busy: false, channel: undefined, released: false });
        }
        this.rankTimer.fireWithin(RANK_DELAY_MS);
    }

    /** Sets the number of entries to keep connections to. */
    public setWantedCount(count: number): void {
        this.wanted = count;
        this.maintain();
    }

    public dispose(): void {
        this.disposed = true;
        this.rankTimer.dispose();
    }

    private rank(): void {
        this.ranked = rendezvousRank(this.id, [...this.known.keys()])
            .map(address => this.known.get(address))
            .filter(entry => entry !== undefined);
    }

    /** Opens missing connections and releases those that are no longer needed. */
    private maintain(): void {
        if (this.disposed) {
            return;
        }
        let missing = this.wanted;
        let triesLeft = MAX_TRIED_FACTOR * this.wanted;
        for (const entry of this.ranked) {
            if (missing > 0 && triesLeft > 0) {
                this.ensureOpen(entry);
                triesLeft -= 1;
                missing -= entry.tries < TRIES_UNTIL_REPLACED ? 1 : 0;
            }
            else {
                this.releaseChannel(entry);
            }
        }
    }

    private ensureOpen(entry: KnownEntry): void {
        if (entry.channel === undefined && !entry.busy) {
            this.open(entry);
        }
    }

    private releaseChannel(entry: KnownEntry): void {
        if (entry.channel !== undefined && !entry.released) {
            entry.released = true;
            this.owner.release(entry.channel);
        }
    }

    private open(entry: KnownEntry): void {
        entry.busy = true;
        this.dial(entry.address).then(
            channel => {
                this.handleOpened(entry, channel);
            },
            (error: unknown) => {
                this.handleFailure(entry, String(error));
            },
        );
    }

    private handleOpened(entry: KnownEntry, channel: Channel): void {
        entry.busy = false;
        entry.tries = 0;
        entry.released = false;
        entry.channel = channel;
        channel.onClose(() => {
            entry.channel = undefined;
            this.scheduleRetry(entry);
        });
        this.owner.attach(channel);
        this.maintain();
    }

    private handleFailure(entry: KnownEntry, reason: string): void {
        entry.tries += 1;
        const { address, tries } = entry;
        if (tries === 1 || tries === MAX_TRIES) {
            this.log.write(LeaseEvent.EntryUnreachable, { address, tries, reason });
        }
        if (tries >= MAX_TRIES) {
            this.known.delete(address);
            this.rank();
            this.maintain();
            return;
        }
        this.scheduleRetry(entry);
        if (tries === TRIES_UNTIL_REPLACED) {
            this.maintain();
        }
    }

    /** Schedules the next attempt, which is made if the entry is still wanted by then. */
    private scheduleRetry(entry: KnownEntry): void {
        entry.busy = true;
        this.clock.schedule(retryDelayMs(entry.tries), () => {
            entry.busy = false;
            this.maintain();
        });
    }
}

/** Delay after `tries` consecutive failed attempts, in milliseconds. */
function retryDelayMs(tries: number): number {
    const longest = tries < RESTART_TRIES ? RESTART_RETRY_DELAY_MS : MAX_RETRY_DELAY_MS;
    return Math.min(longest, FIRST_RETRY_DELAY_MS * 2 ** Math.min(tries, 6));
}
