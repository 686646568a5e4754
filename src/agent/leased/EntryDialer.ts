import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import type { Log } from "../../common/log/Log.js";
import type { Channel } from "../../common/wire/Channel.js";
import { LeaseEvent } from "./LeaseEvent.js";

/** Pause before the first try after a loss. */
const FIRST_PAUSE_MS = 60;

/** Longest pause between tries; entries that left for good are still tried so often. */
const MAX_PAUSE_MS = 1500;

/** Tries without a connection, at the longest pause, after which an address is dropped: about a minute and a half. */
const MAX_TRIES = 60;

/** Opens a channel to `ip:port`. */
type Dial = (address: string) => Promise<Channel>;

/** Task that keeps a connection to each known entry and tries lost ones again with growing pauses. */
export class EntryDialer implements Disposable {
    private readonly known = new Set<string>();
    private disposed = false;

    constructor(
        private readonly dial: Dial,
        private readonly attach: (channel: Channel) => void,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {}

    /** Adds addresses; those that are known already change nothing. */
    public learn(addresses: readonly string[]): void {
        for (const address of addresses) {
            if (!this.known.has(address) && !this.disposed) {
                this.known.add(address);
                this.tryNow(address, 0);
            }
        }
    }

    public dispose(): void {
        this.disposed = true;
    }

    private tryNow(address: string, tries: number): void {
        if (this.disposed) {
            return;
        }
        this.dial(address).then(
            channel => {
                channel.onClose(() => {
                    this.tryLater(address, 0);
                });
                this.attach(channel);
            },
            (error: unknown) => {
                this.failed(address, tries + 1, String(error));
            },
        );
    }

    private failed(address: string, tries: number, reason: string): void {
        if (tries === 1 || tries === MAX_TRIES) {
            this.log.write(LeaseEvent.EntryUnreachable, { address, tries, reason });
        }
        if (tries >= MAX_TRIES) {
            this.known.delete(address);
            return;
        }
        this.tryLater(address, tries);
    }

    private tryLater(address: string, tries: number): void {
        const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(tries, 6));
        this.clock.schedule(pauseMs, () => {
            this.tryNow(address, tries);
        });
    }
}
