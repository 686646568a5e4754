import type { Socket } from "node:net";
import { FrameCodec } from "../common/wire/FrameCodec.js";
import type { LinkRules } from "./LinkRules.js";

/** One direction of a connection through a link. It keeps the bytes in order while it delays or stalls them. */
export class LinkPipe {
    private readonly held: (Buffer | "end")[] = [];
    private readonly codec = new FrameCodec();
    private readonly timers = new Set<NodeJS.Timeout>();
    private dueAt = 0;

    constructor(
        private readonly target: Socket,
        private readonly rules: LinkRules,
        /** Names of sender and receiver, once they are known. */
        private readonly names: () => readonly [from: string, to: string] | undefined,
    ) {}

    /** True once the receiver's side is closed. */
    public get isEnded(): boolean {
        return this.target.destroyed;
    }

    /** Queues the next bytes, or the end of the connection, for delivery after the current delay. */
    public push(item: Buffer | "end"): void {
        const now = performance.now();
        this.dueAt = Math.max(this.dueAt, now + this.rules.delayMs());
        if (this.dueAt <= now) {
            this.hold(item);
            return;
        }
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            this.hold(item);
        }, this.dueAt - now);
        this.timers.add(timer);
    }

    /** Delivers the queued items unless this direction is stalled. */
    public flush(): void {
        const names = this.names();
        if (names === undefined || this.rules.isStalled(...names)) {
            return;
        }
        for (const item of this.held.splice(0)) {
            if (item === "end") {
                this.target.destroy();
            }
            else {
                this.rules.countFrames(...names, [...this.codec.push(item)].length);
                this.target.write(item);
            }
        }
    }

    public dispose(): void {
        for (const timer of this.timers) {
            clearTimeout(timer);
        }
    }

    private hold(item: Buffer | "end"): void {
        this.held.push(item);
        this.flush();
    }
}
