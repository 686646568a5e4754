import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import type { Event } from "../../common/Event.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Identity } from "../../common/wire/Identity.js";
import type { Message } from "../../common/wire/Message.js";
import type { Dialer } from "./Dialer.js";

/** An unused connection is closed after this time. */
const IDLE_MS = 5000;

interface Shared {
    readonly channel: Channel;
    users: number;
    cancelIdle: () => void;
}

/**
 * Connections to agents that many settlements use at once. After the loss of an issuer each of its jobs is settled at the
 * same agents; a connection per job and agent was 700 handshakes for 57 jobs and 11 agents.
 */
export class SharedChannels implements Disposable {
    private readonly shared = new Map<string, Promise<Shared>>();

    constructor(private readonly clock: Clock, private readonly dial: Dialer) {}

    /**
     * Returns a view of the connection to `address`. Closing the view keeps the connection for others; disposing it, after
     * the peer did not answer, closes the connection for all, so that the next lease connects anew.
     */
    public async lease(address: string): Promise<Channel> {
        const shared = await this.connect(address);
        shared.users += 1;
        shared.cancelIdle();
        return new LeasedChannel(shared.channel, () => {
            this.release(shared);
        });
    }

    public dispose(): void {
        for (const connecting of this.shared.values()) {
            void connecting.then(({ channel, cancelIdle }) => {
                cancelIdle();
                channel.dispose();
            }, () => undefined);
        }
        this.shared.clear();
    }

    private connect(address: string): Promise<Shared> {
        const known = this.shared.get(address);
        if (known !== undefined) {
            return known;
        }
        const connecting = this.open(address);
        this.shared.set(address, connecting);
        const forget = () => {
            if (this.shared.get(address) === connecting) {
                this.shared.delete(address);
            }
        };
        connecting.then(({ channel }) => channel.onClose(forget), forget);
        return connecting;
    }

    private async open(address: string): Promise<Shared> {
        const channel = await this.dial(address);
        return { channel, users: 0, cancelIdle: () => undefined };
    }

    private release(shared: Shared): void {
        shared.users -= 1;
        if (shared.users === 0) {
            shared.cancelIdle = this.clock.schedule(IDLE_MS, () => {
                shared.channel.close("idle");
            });
        }
    }
}

/** View of a shared connection for one settlement. */
class LeasedChannel implements Channel {
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
