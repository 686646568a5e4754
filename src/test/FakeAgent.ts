import { DisposableStore } from "../common/DisposableStore.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { newIncarnation } from "../common/newIncarnation.js";
import { Verdict } from "../common/Verdict.js";
import type { Channel } from "../common/wire/Channel.js";
import { dial } from "../common/wire/dial.js";
import type { Identity } from "../common/wire/Identity.js";
import { Listener } from "../common/wire/Listener.js";
import type { Message } from "../common/wire/Message.js";
import type { MessageOf } from "../common/wire/MessageOf.js";
import type { Outcome } from "../common/wire/Outcome.js";

/** Fake agent for tests of entries over real sockets: attaches, grants credits and records received messages. */
export class FakeAgent {
    public readonly received: Message[] = [];
    /** Called for each message from an entry, on the attached channel and on every other one. */
    public onMessage: (message: Message, channel: Channel) => void = () => undefined;
    private readonly resources = new DisposableStore();
    private channel: Channel | undefined;

    private constructor(
        public readonly identity: Identity,
        private readonly secret: string,
        listener: Listener,
    ) {
        this.resources.add(listener);
        this.resources.add(listener.onChannel(channel => {
            this.watch(channel);
        }));
    }

    public static async start(secret: string, port = 0): Promise<FakeAgent> {
        const fields = { role: "agent", id: "worker", incarnation: newIncarnation(), region: "r" } as const;
        const holder: { identity: Identity; } = { identity: { ...fields, failureDomain: "f", address: "127.0.0.1:1" } };
        const listener = await Listener.listen({
            host: "127.0.0.1",
            port,
            maxConnections: 16,
            identity: () => holder.identity,
            secret,
            log: new SilentLog(),
        });
        holder.identity = { ...holder.identity, address: `127.0.0.1:${listener.port}` };
        return new FakeAgent(holder.identity, secret, listener);
    }

    public get port(): number {
        return Number(this.identity.address.split(":")[1]);
    }

    /** Attaches to an entry and grants `credits`. */
    public async attach(entryPort: number, service: string, credits: number): Promise<void> {
        const channel = await dial(`127.0.0.1:${entryPort}`, this.identity, this.secret, new SilentLog());
        this.channel = channel;
        this.resources.add(channel);
        this.watch(channel);
        const attached = this.next("attached");
        channel.send({ kind: "attach", service, rack: "k", slots: credits, connections: 64 });
        channel.send({ kind: "credit", count: credits });
        await attached;
    }

    public send(message: Message): void {
        this.channel?.send(message);
    }

    /** Reports that the started task succeeded with the given output. */
    public succeed(start: MessageOf<"start">, output: unknown): void {
        this.report(start, FakeAgent.success(start, output));
    }

    /** Reports an outcome and grants the credit again. */
    public report(start: MessageOf<"start"> | MessageOf<"revoke">, outcome: Outcome): void {
        const { issuer, sequence } = start;
        this.send({ kind: "outcome", issuer, sequence, outcome, credit: true });
    }

    public static success(start: { readonly task: number; readonly attempt: number; }, output: unknown): Outcome {
        const { task, attempt } = start;
        return { task, attempt, verdict: Verdict.Ran, ok: true, output, runMs: 1 };
    }

    /** From now on reports success for every start, with its payload as the output, and answers heartbeats. */
    public echo(): void {
        this.onMessage = message => {
            if (message.kind === "start") {
                this.succeed(message, message.payload);
            }
            else if (message.kind === "heartbeat" || message.kind === "alive") {
                this.send({ kind: "alive" });
            }
        };
    }

    /** Waits for a message of `kind` and removes it from `received`. */
    public async next<K extends Message["kind"]>(kind: K): Promise<MessageOf<K>> {
        const index = () => this.received.findIndex(message => message.kind === kind);
        while (index() < 0) {
            await new Promise(resolve => setTimeout(resolve, 2));
        }
        return this.received.splice(index(), 1)[0] as MessageOf<K>;
    }

    public count(kind: Message["kind"]): number {
        return this.received.filter(message => message.kind === kind).length;
    }

    /** Closes the attached connection without a `goodbye`. */
    public cut(): void {
        this.channel?.dispose();
    }

    public dispose(): void {
        this.resources.dispose();
    }

    private watch(channel: Channel): void {
        channel.onMessage(message => {
            this.received.push(message);
            this.onMessage(message, channel);
        });
    }
}
