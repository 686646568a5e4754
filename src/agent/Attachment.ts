import type { Clock } from "../common/Clock.js";
import type { Log } from "../common/log/Log.js";
import { WireEvent } from "../common/log/WireEvent.js";
import type { MessageOf } from "../common/wire/MessageOf.js";
import type { AttachmentState } from "./AttachmentState.js";
import type { TimedChannel } from "./TimedChannel.js";

/** Maximum time without a message to an attached entry, plus up to one check interval. */
const HEARTBEAT_INTERVAL_MS = 1000;

/** Interval at which a connection is checked. */
const CHECK_INTERVAL_MS = 250;

const MISSED_HEARTBEATS = 3;
const ATTACH_TIMEOUT_MS = 3000;

/** Content of a heartbeat. */
type Report = Omit<MessageOf<"heartbeat">, "kind">;

/** Connection to an entry, with its heartbeats and its state. */
export class Attachment {
    public state: AttachmentState = "connected";
    /**
     * Whether the entry was told that the endpoint is being withdrawn, so that it starts nothing more over this
     * connection.
     */
    public isWithdrawn = false;
    private lastMessageAt: number;
    private stateSince: number;
    private lastReport: Report | undefined;
    private cancelTimer: () => void = () => undefined;

    constructor(
        public readonly channel: TimedChannel,
        private readonly report: () => Report,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.lastMessageAt = clock.now();
        this.stateSince = clock.now();
        channel.onMessage(() => {
            this.lastMessageAt = this.clock.now();
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

    /** Time in the current state, in milliseconds. */
    public get age(): number {
        return this.clock.now() - this.stateSince;
    }

    public setState(state: AttachmentState): void {
        this.state = state;
        this.stateSince = this.clock.now();
        this.lastMessageAt = this.clock.now();
    }

    private schedule(): void {
        this.cancelTimer = this.clock.schedule(CHECK_INTERVAL_MS, () => {
            this.check();
        });
    }

    private check(): void {
        const limitMs = this.isAttached ? MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_MS : ATTACH_TIMEOUT_MS;
        if (this.clock.now() - this.lastMessageAt > limitMs) {
            this.log.write(WireEvent.HeartbeatLost, { peer: this.id, state: this.state });
            this.channel.dispose();
            return;
        }
        if (this.isAttached) {
            this.sendHeartbeat();
        }
        this.schedule();
    }

    /**
     * Sends a heartbeat when the revision has changed, or when the load has changed and nothing was sent for a second.
     * Any message shows that the agent is alive, so a keepalive is sent only after a second without one.
     */
    private sendHeartbeat(): void {
        const report = this.report();
        const isSilent = this.clock.now() - this.channel.sentAt >= HEARTBEAT_INTERVAL_MS;
        const hasNewRevision = report.revision !== this.lastReport?.revision
            || report.section !== this.lastReport.section;
        if (hasNewRevision || (isSilent && report.load !== this.lastReport?.load)) {
            this.lastReport = report;
            this.channel.send({ kind: "heartbeat", ...report });
        }
        else if (isSilent) {
            this.channel.send({ kind: "alive" });
        }
    }
}
