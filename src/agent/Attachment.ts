import type { Clock } from "../common/Clock.js";
import type { Log } from "../common/log/Log.js";
import { WireEvent } from "../common/log/WireEvent.js";
import type { Channel } from "../common/wire/Channel.js";
import type { AttachmentState } from "./AttachmentState.js";

const HEARTBEAT_MS = 1000;
const MISSED_HEARTBEATS = 3;
const ATTACH_TIMEOUT_MS = 3000;

/** One connection to an entry, with its heartbeats and its state. */
export class Attachment {
    public state: AttachmentState = "connected";
    /** True when the entry was told that the endpoint leaves, so that nothing more is started over the connection. */
    public leaving = false;
    private heardAt: number;
    private stateSince: number;
    private cancelTimer: () => void = () => undefined;

    constructor(
        public readonly channel: Channel,
        private readonly heartbeat: () => { load: number; revision: number; },
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.heardAt = clock.now();
        this.stateSince = clock.now();
        channel.onMessage(() => {
            this.heardAt = this.clock.now();
        });
        channel.onClose(() => {
            this.cancelTimer();
        });
        this.schedule();
    }

    public get id(): string {
        return this.channel.peer.id;
    }

    public get isAttached(): boolean {
        return this.state === "attached" || this.state === "retiring";
    }

    /** Time in the present state, in milliseconds. */
    public get age(): number {
        return this.clock.now() - this.stateSince;
    }

    public enter(state: AttachmentState): void {
        this.state = state;
        this.stateSince = this.clock.now();
        this.heardAt = this.clock.now();
    }

    private schedule(): void {
        this.cancelTimer = this.clock.schedule(HEARTBEAT_MS, () => {
            this.beat();
        });
    }

    private beat(): void {
        const limitMs = this.isAttached ? MISSED_HEARTBEATS * HEARTBEAT_MS : ATTACH_TIMEOUT_MS;
        if (this.clock.now() - this.heardAt > limitMs) {
            this.log.write(WireEvent.HeartbeatLost, { peer: this.id, state: this.state });
            this.channel.dispose();
            return;
        }
        if (this.isAttached) {
            this.channel.send({ kind: "heartbeat", ...this.heartbeat() });
        }
        this.schedule();
    }
}
