import assert from "node:assert/strict";
import { SilentLog } from "../common/log/SilentLog.js";
import { newIncarnation } from "../common/newIncarnation.js";
import type { Channel } from "../common/wire/Channel.js";
import { dial } from "../common/wire/dial.js";
import type { Identity } from "../common/wire/Identity.js";
import { Listener } from "../common/wire/Listener.js";
import type { Member } from "../common/wire/Member.js";
import type { Message } from "../common/wire/Message.js";
import type { MessageOf } from "../common/wire/MessageOf.js";

const WAIT_LIMIT_MS = 15_000;
const POLL_MS = 5;
const HEARTBEAT_MS = 500;

/** Fake entry for tests of agents: counts credits, releases them when reclaimed and records received messages. */
export class FakeEntry {
    public readonly received: Message[] = [];
    public channel: Channel | undefined;
    public credits = 0;
    public load = 0;
    public accepts = true;
    /** While true, no heartbeats are sent. */
    public silent = false;
    /** Member rows sent to each agent that connects; nothing is sent while this is undefined. */
    public rows: readonly Member[] | undefined;
    private listener: Listener | undefined;
    private heartbeat: NodeJS.Timeout | undefined;

    private constructor(
        public readonly id: string,
        private readonly secret: string,
        public readonly incarnation: string,
    ) {}

    public static async start(
        id: string,
        secret: string,
        incarnation = newIncarnation(),
        port = 0,
    ): Promise<FakeEntry> {
        const entry = new FakeEntry(id, secret, incarnation);
        entry.listener = await Listener.listen({
            host: "127.0.0.1",
            port,
            maxConnections: 16,
            identity: () => entry.identity,
            secret,
            log: new SilentLog(),
        });
        entry.listener.onChannel(channel => {
            entry.serve(channel);
        });
        entry.heartbeat = setInterval(() => {
            if (!entry.silent) {
                entry.channel?.send({ kind: "heartbeat", load: entry.load, revision: 0 });
            }
        }, HEARTBEAT_MS);
        return entry;
    }

    /** Waits until `condition` holds; after `WAIT_LIMIT_MS` it fails and names `what` it waited for. */
    public static async until(what: string, condition: () => boolean): Promise<void> {
        const deadline = performance.now() + WAIT_LIMIT_MS;
        while (!condition()) {
            assert.ok(performance.now() < deadline, `timed out waiting for ${what}`);
            await new Promise(resolve => setTimeout(resolve, POLL_MS));
        }
    }

    public get address(): string {
        return `127.0.0.1:${this.listener?.port ?? 0}`;
    }

    public get member(): Member {
        const { id, address, incarnation } = this;
        return { id, address, incarnation, region: "r", failureDomain: "f", counter: 1, draining: false, revision: 0 };
    }

    /** Waits for a message of `kind` that satisfies `matches` and removes it from `received`. */
    public async next<K extends Message["kind"]>(
        kind: K,
        matches: (message: MessageOf<K>) => boolean = () => true,
    ): Promise<MessageOf<K>> {
        const find = () =>
            this.received.findIndex(message => message.kind === kind && matches(message as MessageOf<K>));
        await FakeEntry.until(`${kind} at ${this.id}`, () => find() >= 0);
        const [message] = this.received.splice(find(), 1);
        return message as MessageOf<K>;
    }

    public send(message: Message): void {
        assert.ok(this.channel?.send(message), `entry ${this.id} has no open channel`);
    }

    /** Sends the start of one attempt, which uses up a credit. */
    public start(sequence: number, payload: unknown, more: Partial<MessageOf<"start">> = {}): void {
        this.credits -= 1;
        const fixed = { kind: "start" as const, issuer: this.incarnation, sequence, payload };
        this.send({
            task: 0,
            attempt: 1,
            digest: "",
            budgetMs: 10_000,
            repeatable: false,
            queued: 0,
            ...fixed,
            ...more,
        });
    }

    /** Opens a channel to an agent's listener, as a settling entry does. */
    public async dial(port: number): Promise<void> {
        this.serve(await dial(`127.0.0.1:${port}`, this.identity, this.secret, new SilentLog()));
    }

    public dispose(): void {
        clearInterval(this.heartbeat);
        this.channel?.dispose();
        this.listener?.dispose();
    }

    private get identity(): Identity {
        const { id, incarnation, address } = this;
        return { role: "entry", id, incarnation, region: "r", failureDomain: "f", address };
    }

    private serve(channel: Channel): void {
        this.channel = channel;
        this.credits = 0;
        channel.onClose(() => {
            this.credits = this.channel === channel ? 0 : this.credits;
        });
        channel.onMessage(message => {
            this.received.push(message);
            this.answer(channel, message);
        });
        if (this.rows !== undefined) {
            channel.send({ kind: "members", rows: this.rows });
        }
    }

    private answer(channel: Channel, message: Message): void {
        if (message.kind === "attach") {
            channel.send({ kind: "attached", accepted: this.accepts });
        }
        else if (message.kind === "credit") {
            this.credits += message.count;
        }
        else if (message.kind === "outcome" && message.credit) {
            this.credits += 1;
        }
        else if (message.kind === "reclaim") {
            const count = Math.min(message.count, this.credits);
            this.credits -= count;
            channel.send({ kind: "release", count });
        }
    }
}
