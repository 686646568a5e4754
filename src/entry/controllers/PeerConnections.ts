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
import { PeerConnection } from "./PeerConnection.js";

type Handler = (body: unknown, peer: Identity) => Promise<unknown>;

/** Connections to other entries: opened on demand, one per peer, and closed when idle. */
export class PeerConnections implements PeerCalls, PeerMessages, Disposable {
    /** Connection that is used for sending, by address of the peer. */
    private readonly connections = new Map<string, PeerConnection>();
    /** Every open connection, including those on which only the peer sends calls. */
    private readonly openConnections = new Set<PeerConnection>();
    private readonly dialling = new Map<string, Promise<PeerConnection>>();
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
            this.connections.clear();
            this.dialling.clear();
        }));
    }

    /** Takes ownership of a channel that another entry opened. */
    public accept(channel: Channel): void {
        const connection = this.register(channel);
        if (this.connections.get(channel.peer.address)?.channel.open !== true) {
            this.connections.set(channel.peer.address, connection);
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
        const connection = await this.withTimeout(this.connectTo(address, incarnation), timeoutMs, address);
        const remainingMs = Math.max(1, timeoutMs - (this.clock.now() - startedAt));
        this.metrics?.increment(`peers.calls.${method}`);
        try {
            return await connection.call(method, body, remainingMs);
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
            return (await this.connectTo(address, undefined)).send(message);
        }
        catch {
            return false;
        }
    }

    public dispose(): void {
        this.disposed = true;
        this.registrations.dispose();
        for (const connection of [...this.openConnections]) {
            connection.dispose();
        }
        this.messages.dispose();
    }

    /** Returns an open connection to the expected incarnation; reconnects once if the peer had another one. */
    private async connectTo(address: string, incarnation: string | undefined): Promise<PeerConnection> {
        const known = this.connections.get(address);
        if (known?.channel.open === true && isExpected(known, incarnation)) {
            return known;
        }
        const connection = await this.dialOnce(address);
        if (!isExpected(connection, incarnation)) {
            const found = connection.channel.peer.incarnation;
            this.log.write(ClusterEvent.PeerIncarnation, { address, expected: incarnation, found });
            throw issuerLost(`entry at ${address} has incarnation ${found}, expected ${incarnation ?? "any"}`);
        }
        return connection;
    }

    private dialOnce(address: string): Promise<PeerConnection> {
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

    private async dial(address: string): Promise<PeerConnection> {
        const identity = this.identity.current;
        let channel: Channel;
        try {
            channel = await dial(address, identity, this.secret, this.log, this.metrics);
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            this.log.write(ClusterEvent.PeerUnreachable, { address, reason });
            throw issuerLost(reason);
        }
        if (this.disposed) {
            channel.dispose();
            throw issuerLost("this entry is stopping");
        }
        const connection = this.register(channel);
        if (identity.incarnation === this.identity.current.incarnation) {
            this.connections.set(address, connection);
        }
        return connection;
    }

    private register(channel: Channel): PeerConnection {
        const connection = new PeerConnection(channel, this.clock);
        this.openConnections.add(connection);
        connection.onClose(() => {
            this.remove(connection);
        });
        connection.onRequest(message => {
            this.receive(connection, message);
        });
        connection.listen();
        return connection;
    }

    private remove(connection: PeerConnection): void {
        this.openConnections.delete(connection);
        for (const [address, current] of this.connections) {
            if (current === connection) {
                this.connections.delete(address);
            }
        }
    }

    private receive(connection: PeerConnection, message: Message): void {
        match(message)
            .with({ kind: "call" }, call => {
                void connection.answer(call, () => this.handle(call.method, call.body, connection.channel.peer));
            })
            .with({ kind: "members" }, { kind: "configuration" }, { kind: "pull" }, other => {
                const reply = (answer: Message) => connection.send(answer);
                this.messages.fire({ message: other, peer: connection.channel.peer, reply });
            })
            .otherwise(other => {
                this.log.write(ClusterEvent.MessageIgnored, { peer: connection.channel.peer.id, kind: other.kind });
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

    private withTimeout<T>(work: Promise<T>, limitMs: number, address: string): Promise<T> {
        return new Promise((resolve, reject) => {
            const cancel = this.clock.schedule(limitMs, () => {
                const message = `no connection to ${address} within ${limitMs} ms`;
                reject(new Fault(FaultCode.Timeout, message, Verdict.MayHaveRun));
            });
            work.then(resolve, reject).finally(cancel);
        });
    }
}

function isExpected(connection: PeerConnection, incarnation: string | undefined): boolean {
    return incarnation === undefined || connection.channel.peer.incarnation === incarnation;
}

function issuerLost(message: string): Fault {
    return new Fault(FaultCode.IssuerLost, message, Verdict.MayHaveRun);
}
