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

/** Maximum number of unanswered calls on one connection, in each direction. */
const MAX_CALLS_IN_FLIGHT = 4096;

/** A connection without traffic and without calls is closed after this time. */
const IDLE_CLOSE_MS = 30_000;

/** A connection on which nothing arrives for this time while a call waits is considered half-open. */
const HALF_OPEN_AFTER_MS = 3000;

const RETRY_AFTER_MS = 100;

interface PendingCall {
    readonly resolve: (body: unknown) => void;
    readonly reject: (fault: Fault) => void;
    readonly cancelTimer: () => void;
}

/** Connection to another entry: matches replies to calls, limits concurrent calls, and closes itself when idle. */
export class PeerConnection implements Disposable {
    private readonly pending = new Map<number, PendingCall>();
    private readonly requests = new Emitter<Message>();
    private readonly closes = new Emitter<void>();
    private readonly registrations = new DisposableStore();
    private nextCall = 1;
    private serving = 0;
    private lastUsedAt: number;
    private lastReceivedAt: number;
    private cancelIdle: () => void;

    /** Fires with each message that is not the reply to a call. */
    public readonly onRequest = this.requests.event;

    public readonly onClose = this.closes.event;

    constructor(
        public readonly channel: Channel,
        private readonly clock: Clock,
    ) {
        this.lastUsedAt = clock.now();
        this.lastReceivedAt = this.lastUsedAt;
        this.cancelIdle = clock.schedule(IDLE_CLOSE_MS, () => {
            this.closeIfIdle();
        });
        this.registrations.add(channel.onClose(reason => {
            this.handleClose(reason);
        }));
    }

    /** Starts to receive messages; listeners must be registered before. */
    public listen(): void {
        this.registrations.add(this.channel.onMessage(message => {
            this.receive(message);
        }));
    }

    /** Sends one call and waits for its reply. */
    public call(method: string, body: unknown, timeoutMs: number): Promise<unknown> {
        if (this.pending.size >= MAX_CALLS_IN_FLIGHT) {
            const message = `${MAX_CALLS_IN_FLIGHT} calls to ${this.channel.peer.id} wait for a reply`;
            return Promise.reject(overloaded(message));
        }
        const id = this.nextCall++;
        return new Promise((resolve, reject) => {
            const sentAt = this.clock.now();
            const cancelTimer = this.clock.schedule(timeoutMs, () => {
                this.handleTimeout(id, method, timeoutMs, sentAt);
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
        this.lastUsedAt = this.clock.now();
        return this.channel.send(message);
    }

    /** Answers a call with the result of `handle`. */
    public async answer(call: MessageOf<"call">, handle: () => Promise<unknown>): Promise<void> {
        if (this.serving >= MAX_CALLS_IN_FLIGHT) {
            this.refuse(call.id, overloaded("too many calls"));
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

    /** Sends the reply. A call whose reply cannot be sent was still handled, so its verdict must not be `not_run`. */
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
        this.handleClose("disposed");
    }

    private receive(message: Message): void {
        this.lastUsedAt = this.clock.now();
        this.lastReceivedAt = this.lastUsedAt;
        if (message.kind === "reply") {
            this.handleReply(message);
        }
        else {
            this.requests.fire(message);
        }
    }

    /** A reply to a call that has timed out is dropped. */
    private handleReply(reply: MessageOf<"reply">): void {
        const pending = this.removePending(reply.id);
        if (reply.fault === undefined || (reply.fault as unknown) === null) {
            pending?.resolve(reply.body);
            return;
        }
        const { code, message, verdict, retryAfterMs, path } = reply.fault;
        pending?.reject(new Fault(code, message, verdict, retryAfterMs ?? undefined, path ?? undefined));
    }

    /** Fails the call. Closes the connection if nothing arrived for at least `HALF_OPEN_AFTER_MS` since the call. */
    private handleTimeout(id: number, method: string, timeoutMs: number, sentAt: number): void {
        const message = `no reply to ${method} from ${this.channel.peer.id} within ${timeoutMs} ms`;
        this.fail(id, new Fault(FaultCode.Timeout, message, Verdict.MayHaveRun));
        if (this.lastReceivedAt < sentAt && timeoutMs >= HALF_OPEN_AFTER_MS) {
            this.dispose();
        }
    }

    private fail(id: number, fault: Fault): void {
        this.removePending(id)?.reject(fault);
    }

    private removePending(id: number): PendingCall | undefined {
        const pending = this.pending.get(id);
        this.pending.delete(id);
        pending?.cancelTimer();
        return pending;
    }

    private refuse(id: number, { code, message, verdict, retryAfterMs, path }: Fault): void {
        this.send({ kind: "reply", id, fault: { code, message, verdict, retryAfterMs, path } });
    }

    private closeIfIdle(): void {
        const idleMs = this.clock.now() - this.lastUsedAt;
        if (idleMs >= IDLE_CLOSE_MS && this.pending.size === 0 && this.serving === 0) {
            this.channel.close("idle");
            return;
        }
        this.cancelIdle = this.clock.schedule(Math.max(1, IDLE_CLOSE_MS - idleMs), () => {
            this.closeIfIdle();
        });
    }

    private handleClose(reason: string): void {
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

/** Fault for a call that was not handled: `may_have_run`, because an earlier call may have submitted the same job. */
function overloaded(message: string): Fault {
    return new Fault(FaultCode.Overloaded, message, Verdict.MayHaveRun, RETRY_AFTER_MS);
}
