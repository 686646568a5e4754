import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import type { Event } from "../../common/Event.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Identity } from "../../common/wire/Identity.js";
import type { Message } from "../../common/wire/Message.js";
import type { Dialer } from "./Dialer.js";

/** A connection without users is closed after this time. */
const IDLE_MS = 5000;

interface PooledConnection {
    readonly channel: Channel;
    users: number;
    cancelIdle: () => void;
}

/**
 * Pool of connections to agents that concurrent settlements share. After the loss of an issuer, all its jobs are
 * settled with the same agents; a connection per job and agent took 700 handshakes for 57 jobs and 11 agents.
 */
export class ChannelPool implements Disposable {
    private readonly connections = new Map<string, Promise<PooledConnection>>();

    constructor(private readonly clock: Clock, private readonly dial: Dialer) {}

    /**
     * Returns a channel over the shared connection to `address`. `close` ends only this use of the connection.
     * `dispose`, for a peer that does not answer, closes the connection for all users, so that the next `acquire`
     * reconnects.
     */
    public async acquire(address: string): Promise<Channel> {
        const shared = await this.connect(address);
        shared.users += 1;
        shared.cancelIdle();
        return new PooledChannel(shared.channel, () => {
            this.release(shared);
        });
    }

    public dispose(): void {
        for (const connecting of this.connections.values()) {
            void connecting.then(({ channel, cancelIdle }) => {
                cancelIdle();
                channel.dispose();
            }, () => undefined);
        }
        this.connections.clear();
    }

    private connect(address: string): Promise<PooledConnection> {
        const known = this.connections.get(address);
        if (known !== undefined) {
            return known;
        }
        const connecting = this.open(address);
        this.connections.set(address, connecting);
        const remove = () => {
            if (this.connections.get(address) === connecting) {
                this.connections.delete(address);
            }
        };
        connecting.then(({ channel }) => channel.onClose(remove), remove);
        return connecting;
    }

    private async open(address: string): Promise<PooledConnection> {
        const channel = await this.dial(address);
        return { channel, users: 0, cancelIdle: () => undefined };
    }

    private release(shared: PooledConnection): void {
        shared.users -= 1;
        if (shared.users === 0) {
            shared.cancelIdle = this.clock.schedule(IDLE_MS, () => {
                shared.channel.close("idle");
            });
        }
    }
}

/** One settlement's use of a shared connection. */
class PooledChannel implements Channel {
    private readonly registrations: Disposable[] = [];
    private released = false;

    public readonly onMessage: Event<Message> = listener => this.register(this.channel.onMessage(listener));
    public readonly onClose: Event<string> = listener => this.register(this.channel.onClose(listener));

    constructor(private readonly channel: Channel, private readonly release: () => void) {}

    public get peer(): Identity {
        return this.channel.peer;
    }

    public get open(): boolean {
        return !this.released && this.channel.open;
    }

    public send(message: Message): boolean {
        return this.open && this.channel.send(message);
    }

    public dispose(): void {
        this.close();
        this.channel.dispose();
    }

    public close(): void {
        if (this.released) {
            return;
        }
        this.released = true;
        for (const registration of this.registrations) {
            registration.dispose();
        }
        this.release();
    }

    private register(registration: Disposable): Disposable {
        this.registrations.push(registration);
        return registration;
    }
}
