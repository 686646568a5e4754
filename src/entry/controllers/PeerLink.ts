import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import { Emitter } from "../../common/Emitter.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Message } from "../../common/wire/Message.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";

/** Calls that may wait for a reply on one connection. */
const MAX_OUTSTANDING_CALLS = 4096;

/** A connection without traffic and without calls is closed after this time. */
const IDLE_CLOSE_MS = 30_000;

/** A connection on which nothing arrived for this time while a call waited is taken for half-open. */
const HALF_OPEN_AFTER_MS = 3000;

const RETRY_AFTER_MS = 100;

interface Pending {
    readonly resolve: (body: unknown) => void;
    readonly reject: (fault: Fault) => void;
    readonly cancelTimer: () => void;
}

/** Task that owns one connection to another entry: calls that wait for their reply, and the idle close. */
export class PeerLink implements Disposable {
    private readonly pending = new Map<number, Pending>();
    private readonly requests = new Emitter<Message>();
    private readonly closes = new Emitter<void>();
    private readonly registrations = new DisposableStore();
    private nextCall = 1;
    private serving = 0;
    private usedAt: number;
    private heardAt: number;
    private cancelIdle: () => void;

    /** Fires with each message that is not the reply to a call. */
    public readonly onRequest = this.requests.event;

    public readonly onClose = this.closes.event;

    constructor(
        public readonly channel: Channel,
        private readonly clock: Clock,
    ) {
        this.usedAt = clock.now();
        this.heardAt = this.usedAt;
        this.cancelIdle = clock.schedule(IDLE_CLOSE_MS, () => {
            this.closeIfIdle();
        });
        this.registrations.add(channel.onClose(reason => {
            this.finish(reason);
        }));
    }

    /** Begins to receive; listeners must be registered before. */
    public listen(): void {
        this.registrations.add(this.channel.onMessage(message => {
            this.receive(message);
        }));
    }

    /** Sends one call and waits for its reply. */
    public call(method: string, body: unknown, timeoutMs: number): Promise<unknown> {
        if (this.pending.size >= MAX_OUTSTANDING_CALLS) {
            const message = `${MAX_OUTSTANDING_CALLS} calls to ${this.channel.peer.id} wait for a reply`;
            return Promise.reject(busy(message));
        }
        const id = this.nextCall++;
        return new Promise((resolve, reject) => {
            const sentAt = this.clock.now();
            const cancelTimer = this.clock.schedule(timeoutMs, () => {
                this.expire(id, method, timeoutMs, sentAt);
            });
            this.pending.set(id, { resolve, reject, cancelTimer });
            try {
                if (!this.send({ kind: "call", id, method, body })) {
                    this.fail(id, new Fault(FaultCode.IssuerLost, "connection closed", Verdict.MayHaveRun));
                }
            }
            catch (error) {
                this.fail(id, toFault(error));
            }
        });
    }

    public send(message: Message): boolean {
        this.usedAt = this.clock.now();
        return this.channel.send(message);
    }

    /** Answers a call with the result of `handle`. */
    public async answer(call: MessageOf<"call">, handle: () => Promise<unknown>): Promise<void> {
        if (this.serving >= MAX_OUTSTANDING_CALLS) {
            this.refuse(call.id, busy("too many calls"));
            return;
        }
        this.serving += 1;
        try {
            this.reply(call.id, await handle());
        }
        catch (error) {
            this.refuse(call.id, toFault(error));
        }
        finally {
            this.serving -= 1;
        }
    }

    /** A call whose reply cannot be sent was handled all the same, so the fault must not say that it was not run. */
    private reply(id: number, body: unknown): void {
        try {
            this.send({ kind: "reply", id, body });
        }
        catch (error) {
            const message = error instanceof Error ? error.message : String(error);
            throw new Fault(FaultCode.TooLarge, `the reply cannot be sent: ${message}`, Verdict.MayHaveRun);
        }
    }

    public dispose(): void {
        this.channel.dispose();
        this.finish("disposed");
    }

    private receive(message: Message): void {
        this.usedAt = this.clock.now();
        this.heardAt = this.usedAt;
        if (message.kind === "reply") {
            this.settle(message);
        }
        else {
            this.requests.fire(message);
        }
    }

    /** A reply to a call that has timed out is dropped. */
    private settle(reply: MessageOf<"reply">): void {
        const pending = this.take(reply.id);
        if (reply.fault === undefined || (reply.fault as unknown) === null) {
            pending?.resolve(reply.body);
            return;
        }
        const { code, message, verdict, retryAfterMs, path } = reply.fault;
        pending?.reject(new Fault(code, message, verdict, retryAfterMs ?? undefined, path ?? undefined));
    }

    /** Fails the call; a connection that was silent for the whole time is half-open and is closed. */
    private expire(id: number, method: string, timeoutMs: number, sentAt: number): void {
        const message = `no reply to ${method} from ${this.channel.peer.id} within ${timeoutMs} ms`;
        this.fail(id, new Fault(FaultCode.Timeout, message, Verdict.MayHaveRun));
        if (this.heardAt < sentAt && timeoutMs >= HALF_OPEN_AFTER_MS) {
            this.dispose();
        }
    }

    private fail(id: number, fault: Fault): void {
        this.take(id)?.reject(fault);
    }

    private take(id: number): Pending | undefined {
        const pending = this.pending.get(id);
        this.pending.delete(id);
        pending?.cancelTimer();
        return pending;
    }

    private refuse(id: number, { code, message, verdict, retryAfterMs, path }: Fault): void {
        this.send({ kind: "reply", id, fault: { code, message, verdict, retryAfterMs, path } });
    }

    private closeIfIdle(): void {
        const idleMs = this.clock.now() - this.usedAt;
        if (idleMs >= IDLE_CLOSE_MS && this.pending.size === 0 && this.serving === 0) {
            this.channel.close("idle");
            return;
        }
        this.cancelIdle = this.clock.schedule(Math.max(1, IDLE_CLOSE_MS - idleMs), () => {
            this.closeIfIdle();
        });
    }

    private finish(reason: string): void {
        this.cancelIdle();
        this.registrations.dispose();
        for (const id of [...this.pending.keys()]) {
            const message = `connection to ${this.channel.peer.id} closed: ${reason}`;
            this.fail(id, new Fault(FaultCode.IssuerLost, message, Verdict.MayHaveRun));
        }
        this.closes.fire();
        this.closes.dispose();
        this.requests.dispose();
    }
}

function toFault(error: unknown): Fault {
    return error instanceof Fault
        ? error
        : new Fault(FaultCode.Internal, error instanceof Error ? error.message : String(error), Verdict.MayHaveRun);
}

/** A call that is not handled says nothing about earlier ones: its job may have been submitted before. */
function busy(message: string): Fault {
    return new Fault(FaultCode.Overloaded, message, Verdict.MayHaveRun, RETRY_AFTER_MS);
}
