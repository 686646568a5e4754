import type { Clock } from "../../common/Clock.js";
import { CoalescingTimer } from "../../common/CoalescingTimer.js";
import type { Disposable } from "../../common/Disposable.js";
import type { Log } from "../../common/log/Log.js";
import { rendezvousRank } from "../../common/rendezvousRank.js";
import type { Channel } from "../../common/wire/Channel.js";
import { LeaseEvent } from "./LeaseEvent.js";

/** Pause before the first try after a loss. */
const FIRST_PAUSE_MS = 60;

/** Longest pause between tries while the entry may be starting again, which takes some seconds with its whole domain. */
const RESTART_PAUSE_MS = 300;
const RESTART_TRIES = 20;

/** Longest pause between tries afterwards; entries that left for good are still tried so often. */
const MAX_PAUSE_MS = 1500;

/** Tries without a connection after which an address is dropped: about a minute and a half. */
const MAX_TRIES = 80;

/** Tries in a row without a connection after which another entry takes the place of this one; a restart needs fewer. */
const TRIES_UNTIL_REPLACED = 3;

/** Delay that collects addresses that become known one after the other, before the best of them are chosen. */
const LEARN_DELAY_MS = 10;

/** Most entries that are tried at a time, as a multiple of the wanted connections, while many cannot be reached. */
const MAX_TRIED_FACTOR = 2;

/** Opens a channel to `ip:port`. */
type Dial = (address: string) => Promise<Channel>;

/** What is done with the connections of a dialer. */
interface ConnectionOwner {
    /** Takes an open channel. */
    attach(channel: Channel): void;
    /** Gives a channel up once nothing depends on it, by closing it. */
    release(channel: Channel): void;
}

/** Entry of which the address is known. */
interface KnownEntry {
    readonly address: string;
    /** Failed tries in a row. */
    tries: number;
    /** Whether a connection is being opened, or the pause before the next try is running. */
    busy: boolean;
    channel: Channel | undefined;
    /** Whether the channel is being given up. */
    released: boolean;
}

/**
 * Task that keeps connections to a bounded number of the known entries: the first ones in the rendezvous order of this
 * agent, so that agents spread evenly over the entries. Entries further down replace those that cannot be reached, for as
 * long as that lasts.
 */
export class EntryDialer implements Disposable {
    private readonly known = new Map<string, KnownEntry>();
    /** Known entries, best first. */
    private ranked: readonly KnownEntry[] = [];
    private readonly choice: CoalescingTimer;
    private disposed = false;

    constructor(
        /** Name of this agent, the key of its order of entries. */
        private readonly id: string,
        private wanted: number,
        private readonly dial: Dial,
        private readonly owner: ConnectionOwner,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.choice = new CoalescingTimer(clock, () => {
            this.rank();
            this.maintain();
        });
    }

    /** Number of known entries. */
    public get knownCount(): number {
        return this.known.size;
    }

    /** Adds addresses; those that are known already change nothing. */
    public learn(addresses: readonly string[]): void {
        const fresh = addresses.filter(address => !this.known.has(address));
        if (fresh.length === 0) {
            return;
        }
        for (const address of fresh) {
            this.known.set(address, { address, tries: 0, busy: false, channel: undefined, released: false });
        }
        this.choice.fireWithin(LEARN_DELAY_MS);
    }

    /** Keeps connections to `count` entries from now on. */
    public resize(count: number): void {
        this.wanted = count;
        this.maintain();
    }

    public dispose(): void {
        this.disposed = true;
        this.choice.dispose();
    }

    private rank(): void {
        this.ranked = rendezvousRank(this.id, [...this.known.keys()])
            .map(address => this.known.get(address))
            .filter(entry => entry !== undefined);
    }

    /** Opens the connections that are missing, and gives up those that are no longer needed. */
    private maintain(): void {
        if (this.disposed) {
            return;
        }
        let missing = this.wanted;
        let untried = MAX_TRIED_FACTOR * this.wanted;
        for (const entry of this.ranked) {
            if (missing > 0 && untried > 0) {
                this.keep(entry);
                untried -= 1;
                missing -= entry.tries < TRIES_UNTIL_REPLACED ? 1 : 0;
            }
            else {
                this.giveUp(entry);
            }
        }
    }

    private keep(entry: KnownEntry): void {
        if (entry.channel === undefined && !entry.busy) {
            this.open(entry);
        }
    }

    private giveUp(entry: KnownEntry): void {
        if (entry.channel !== undefined && !entry.released) {
            entry.released = true;
            this.owner.release(entry.channel);
        }
    }

    private open(entry: KnownEntry): void {
        entry.busy = true;
        this.dial(entry.address).then(
            channel => {
                this.opened(entry, channel);
            },
            (error: unknown) => {
                this.failed(entry, String(error));
            },
        );
    }

    private opened(entry: KnownEntry, channel: Channel): void {
        entry.busy = false;
        entry.tries = 0;
        entry.released = false;
        entry.channel = channel;
        channel.onClose(() => {
            entry.channel = undefined;
            this.pause(entry);
        });
        this.owner.attach(channel);
        this.maintain();
    }

    private failed(entry: KnownEntry, reason: string): void {
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
        this.pause(entry);
        if (tries === TRIES_UNTIL_REPLACED) {
            this.maintain();
        }
    }

    /** Lets some time pass before the entry is tried again, if it is still wanted then. */
    private pause(entry: KnownEntry): void {
        entry.busy = true;
        this.clock.schedule(pauseMs(entry.tries), () => {
            entry.busy = false;
            this.maintain();
        });
    }
}

/** Pause after `tries` failed tries in a row, in milliseconds. */
function pauseMs(tries: number): number {
    const longest = tries < RESTART_TRIES ? RESTART_PAUSE_MS : MAX_PAUSE_MS;
    return Math.min(longest, FIRST_PAUSE_MS * 2 ** Math.min(tries, 6));
}
