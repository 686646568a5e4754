import { match } from "ts-pattern";
import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import { Emitter } from "../../common/Emitter.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { Log } from "../../common/log/Log.js";
import type { Metrics } from "../../common/Metrics.js";
import { Verdict } from "../../common/Verdict.js";
import type { Channel } from "../../common/wire/Channel.js";
import { dial } from "../../common/wire/dial.js";
import type { Identity } from "../../common/wire/Identity.js";
import type { Message } from "../../common/wire/Message.js";
import { ClusterEvent } from "../ClusterEvent.js";
import type { EntryIdentity } from "../EntryIdentity.js";
import type { PeerCalls } from "../PeerCalls.js";
import type { PeerMessage } from "../PeerMessage.js";
import type { PeerMessages } from "../PeerMessages.js";
import { PeerLink } from "./PeerLink.js";

type Handler = (body: unknown, peer: Identity) => Promise<unknown>;

/** Connections to other entries, dialled on demand: one per peer, closed when idle. */
export class Peers implements PeerCalls, PeerMessages, Disposable {
    /** Connection that is used for sending, by address of the peer. */
    private readonly links = new Map<string, PeerLink>();
    /** Every open connection, also those that only the other side sends on. */
    private readonly open = new Set<PeerLink>();
    private readonly dialling = new Map<string, Promise<PeerLink>>();
    private readonly handlers = new Map<string, Handler>();
    private readonly messages = new Emitter<PeerMessage>();
    private readonly registrations = new DisposableStore();
    private disposed = false;

    public readonly onMessage = this.messages.event;

    constructor(
        private readonly identity: EntryIdentity,
        private readonly secret: string,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics?: Metrics,
    ) {
        this.registrations.add(identity.onRenew(() => {
            this.links.clear();
            this.dialling.clear();
        }));
    }

    /** Takes a channel that another entry opened. */
    public accept(channel: Channel): void {
        const link = this.adopt(channel);
        if (this.links.get(channel.peer.address)?.channel.open !== true) {
            this.links.set(channel.peer.address, link);
        }
    }

    public serve(method: string, handler: Handler): Disposable {
        this.handlers.set(method, handler);
        return { dispose: () => this.handlers.delete(method) };
    }

    public async call(
        address: string,
        incarnation: string | undefined,
        method: string,
        body: unknown,
        timeoutMs: number,
    ): Promise<unknown> {
        const startedAt = this.clock.now();
        const link = await this.withLimit(this.linkTo(address, incarnation), timeoutMs, address);
        const remainingMs = Math.max(1, timeoutMs - (this.clock.now() - startedAt));
        this.metrics?.increment(`peers.calls.${method}`);
        try {
            return await link.call(method, body, remainingMs);
        }
        catch (error) {
            if (error instanceof Fault && error.code === FaultCode.Timeout) {
                this.log.write(ClusterEvent.CallTimeout, { address, method, timeoutMs });
            }
            throw error;
        }
    }

    public async send(address: string, message: PeerMessage["message"]): Promise<boolean> {
        try {
            return (await this.linkTo(address, undefined)).send(message);
        }
        catch {
            return false;
        }
    }

    public dispose(): void {
        this.disposed = true;
        this.registrations.dispose();
        for (const link of [...this.open]) {
            link.dispose();
        }
        this.messages.dispose();
    }

    /** Returns an open connection to the wanted incarnation; a link to another one is replaced once. */
    private async linkTo(address: string, incarnation: string | undefined): Promise<PeerLink> {
        const known = this.links.get(address);
        if (known?.channel.open === true && isWanted(known, incarnation)) {
            return known;
        }
        const link = await this.dialOnce(address);
        if (!isWanted(link, incarnation)) {
            const found = link.channel.peer.incarnation;
            this.log.write(ClusterEvent.PeerIncarnation, { address, expected: incarnation, found });
            throw lost(`entry at ${address} has incarnation ${found}, expected ${incarnation ?? "any"}`);
        }
        return link;
    }

    private dialOnce(address: string): Promise<PeerLink> {
        const current = this.dialling.get(address);
        if (current !== undefined) {
            return current;
        }
        const attempt = this.dial(address).finally(() => {
            if (this.dialling.get(address) === attempt) {
                this.dialling.delete(address);
            }
        });
        this.dialling.set(address, attempt);
        return attempt;
    }

    private async dial(address: string): Promise<PeerLink> {
        const identity = this.identity.current;
        let channel: Channel;
        try {
            channel = await dial(address, identity, this.secret, this.log, this.metrics);
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            this.log.write(ClusterEvent.PeerUnreachable, { address, reason });
            throw lost(reason);
        }
        if (this.disposed) {
            channel.dispose();
            throw lost("this entry is stopping");
        }
        const link = this.adopt(channel);
        if (identity.incarnation === this.identity.current.incarnation) {
            this.links.set(address, link);
        }
        return link;
    }

    private adopt(channel: Channel): PeerLink {
        const link = new PeerLink(channel, this.clock);
        this.open.add(link);
        link.onClose(() => {
            this.forget(link);
        });
        link.onRequest(message => {
            this.receive(link, message);
        });
        link.listen();
        return link;
    }

    private forget(link: PeerLink): void {
        this.open.delete(link);
        for (const [address, current] of this.links) {
            if (current === link) {
                this.links.delete(address);
            }
        }
    }

    private receive(link: PeerLink, message: Message): void {
        match(message)
            .with({ kind: "call" }, call => {
                void link.answer(call, () => this.handle(call.method, call.body, link.channel.peer));
            })
            .with({ kind: "members" }, { kind: "configuration" }, { kind: "pull" }, other => {
                const reply = (answer: Message) => link.send(answer);
                this.messages.fire({ message: other, peer: link.channel.peer, reply });
            })
            .otherwise(other => {
                this.log.write(ClusterEvent.MessageIgnored, { peer: link.channel.peer.id, kind: other.kind });
            });
    }

    private async handle(method: string, body: unknown, peer: Identity): Promise<unknown> {
        const handler = this.handlers.get(method);
        if (handler === undefined) {
            throw new Fault(FaultCode.Protocol, `method ${method} is unknown`, Verdict.NotRun);
        }
        try {
            return await handler(body, peer);
        }
        catch (error) {
            if (!(error instanceof Fault)) {
                this.log.write(ClusterEvent.CallHandlerFailed, { method, peer: peer.id, reason: String(error) });
            }
            throw error;
        }
    }

    private withLimit<T>(work: Promise<T>, limitMs: number, address: string): Promise<T> {
        return new Promise((resolve, reject) => {
            const cancel = this.clock.schedule(limitMs, () => {
                const message = `no connection to ${address} within ${limitMs} ms`;
                reject(new Fault(FaultCode.Timeout, message, Verdict.MayHaveRun));
            });
            work.then(resolve, reject).finally(cancel);
        });
    }
}

function isWanted(link: PeerLink, incarnation: string | undefined): boolean {
    return incarnation === undefined || link.channel.peer.incarnation === incarnation;
}

function lost(message: string): Fault {
    return new Fault(FaultCode.IssuerLost, message, Verdict.MayHaveRun);
}
