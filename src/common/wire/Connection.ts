import { createHmac, timingSafeEqual } from "node:crypto";
import type { Socket } from "node:net";
import { Emitter } from "../Emitter.js";
import type { Event } from "../Event.js";
import { Fault } from "../Fault.js";
import { FaultCode } from "../FaultCode.js";
import type { Log } from "../log/Log.js";
import { WireEvent } from "../log/WireEvent.js";
import type { Metrics } from "../Metrics.js";
import { NoMetrics } from "../NoMetrics.js";
import type { Channel } from "./Channel.js";
import { decodeMessage } from "./decodeMessage.js";
import { FrameCodec } from "./FrameCodec.js";
import type { Hello } from "./Hello.js";
import type { Identity } from "./Identity.js";
import type { Message } from "./Message.js";
import { WIRE_VERSION } from "./WIRE_VERSION.js";

/** Maximum number of bytes queued for a peer that reads slowly. */
const MAX_SEND_QUEUE_BYTES = 8 * 1024 * 1024;

const HANDSHAKE_TIMEOUT_MS = 3000;

/**
 * Maximum body size of the first frame, in bytes. It bounds the memory that a peer can occupy before it is
 * authenticated.
 */
const MAX_HELLO_BYTES = 4096;

/** Time for the peer to close its side after an orderly close; the socket is destroyed afterwards. */
const CLOSE_TIMEOUT_MS = 2000;

/** Message channel over one socket, with framing, handshake and a bounded send queue. */
export class Connection implements Channel {
    private readonly codec = new FrameCodec(MAX_HELLO_BYTES);
    private readonly messages = new Emitter<Message>();
    private readonly closes = new Emitter<string>();
    private remote: Identity | undefined;
    private closed = false;
    private corked = false;
    private listening = false;
    private inbox: Message[] = [];

    /** Messages that arrive before the first listener is added are queued for it. */
    public readonly onMessage: Event<Message> = listener => {
        const registration = this.messages.event(listener);
        if (!this.listening) {
            this.listening = true;
            queueMicrotask(() => {
                this.deliver();
            });
        }
        return registration;
    };

    public readonly onClose = this.closes.event;

    private constructor(
        private readonly socket: Socket,
        private readonly secret: string,
        private readonly log: Log,
        private readonly metrics: Metrics,
    ) {
        socket.setNoDelay(true);
        socket.on("error", error => {
            this.markClosed(error.message);
        });
        socket.on("close", () => {
            this.markClosed("closed by peer");
        });
    }

    /** Exchanges `hello` on a connected socket. On failure it rejects with a fault and destroys the socket. */
    public static open(
        socket: Socket,
        identity: Identity,
        secret: string,
        log: Log,
        metrics: Metrics = new NoMetrics(),
    ): Promise<Connection> {
        const connection = new Connection(socket, secret, log, metrics);
        return connection.handshake(identity);
    }

    public get peer(): Identity {
        if (this.remote === undefined) {
            throw new Error("connection has no peer before its handshake");
        }
        return this.remote;
    }

    public get open(): boolean {
        return !this.closed;
    }

    public send(message: Message): boolean {
        if (this.closed) {
            return false;
        }
        if (this.socket.writableLength > MAX_SEND_QUEUE_BYTES) {
            this.log.write(WireEvent.SendQueueFull, { peer: this.remote?.id, bytes: this.socket.writableLength });
            this.abort("send queue over its limit");
            return false;
        }
        this.corkForThisTurn();
        this.socket.write(FrameCodec.encode(message));
        this.metrics.increment(`wire.sent.${message.kind}`);
        return true;
    }

    public close(reason: string): void {
        if (this.closed) {
            return;
        }
        this.send({ kind: "goodbye", reason });
        this.endSocket();
        this.markClosed(reason);
    }

    /** Closes without flushing, for a peer that is dead or sends malformed input. */
    public abort(reason: string): void {
        this.socket.destroy();
        this.markClosed(reason);
    }

    public dispose(): void {
        this.abort("disposed");
    }

    /** Combines the frames written in one turn of the event loop into one packet. */
    private corkForThisTurn(): void {
        if (this.corked) {
            return;
        }
        this.corked = true;
        this.socket.cork();
        queueMicrotask(() => {
            process.nextTick(() => {
                this.corked = false;
                this.socket.uncork();
            });
        });
    }

    private handshake(identity: Identity): Promise<Connection> {
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                this.abort(`handshake not completed within ${HANDSHAKE_TIMEOUT_MS} ms`);
            }, HANDSHAKE_TIMEOUT_MS);
            const failed = this.onClose(reason => {
                clearTimeout(timer);
                reject(new Fault(FaultCode.Protocol, `handshake failed: ${reason}`));
            });
            this.socket.on("data", (chunk: Buffer) => {
                this.receive(chunk, () => {
                    clearTimeout(timer);
                    failed.dispose();
                    this.log.write(WireEvent.ConnectionOpened, { peer: this.remote?.id });
                    resolve(this);
                });
            });
            this.send(this.createHello(identity));
        });
    }

    private receive(chunk: Buffer, onHello: () => void): void {
        if (this.closed) {
            return;
        }
        try {
            for (const value of this.codec.push(chunk)) {
                this.accept(value, onHello);
            }
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            this.log.write(WireEvent.MalformedInput, { peer: this.remote?.id, reason });
            this.abort(reason);
        }
    }

    private accept(value: unknown, onHello: () => void): void {
        if (this.closed) {
            return;
        }
        const message = decodeMessage(value).caseOf({
            Left: fault => {
                throw fault;
            },
            Right: valid => valid,
        });
        if (this.remote === undefined) {
            this.acceptHello(message);
            this.codec.raiseBodyLimit();
            onHello();
        }
        else if (message.kind === "goodbye") {
            this.endSocket();
            this.markClosed(message.reason);
        }
        else {
            this.inbox.push(message);
            this.deliver();
        }
    }

    private deliver(): void {
        while (this.listening && !this.closed) {
            const message = this.inbox.shift();
            if (message === undefined) {
                return;
            }
            this.messages.fire(message);
        }
    }

    private acceptHello(message: Message): void {
        if (message.kind !== "hello") {
            throw new Fault(FaultCode.Protocol, `first message is ${message.kind}, expected hello`);
        }
        if (message.version !== WIRE_VERSION) {
            throw new Fault(FaultCode.Protocol, `protocol version ${message.version}, expected ${WIRE_VERSION}`);
        }
        if (!equalStrings(message.proof, this.computeProof(message))) {
            this.log.write(WireEvent.HandshakeRejected, { peer: message.id, address: message.address });
            throw new Fault(FaultCode.Unauthorized, "proof of identity does not match the secret of the deployment");
        }
        const { role, id, incarnation, region, failureDomain, address } = message;
        this.remote = { role, id, incarnation, region, failureDomain, address };
    }

    private createHello(identity: Identity): Hello {
        return { kind: "hello", version: WIRE_VERSION, ...identity, proof: this.computeProof(identity) };
    }

    private computeProof(identity: Identity): string {
        const { role, id, incarnation, region, failureDomain, address } = identity;
        const text = JSON.stringify([role, id, incarnation, region, failureDomain, address]);
        return createHmac("sha256", this.secret).update(text).digest("base64url");
    }

    /**
     * Ends the socket, and destroys it after a timeout: a peer that never closes its side would keep it open forever.
     */
    private endSocket(): void {
        this.socket.end();
        const timer = setTimeout(() => this.socket.destroy(), CLOSE_TIMEOUT_MS);
        this.socket.once("close", () => clearTimeout(timer));
    }

    private markClosed(reason: string): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.log.write(WireEvent.ConnectionClosed, { peer: this.remote?.id, reason });
        this.closes.fire(reason);
        this.messages.dispose();
        this.closes.dispose();
    }
}

function equalStrings(a: string, b: string): boolean {
    const left = Buffer.from(a);
    const right = Buffer.from(b);
    return left.length === right.length && timingSafeEqual(left, right);
}
