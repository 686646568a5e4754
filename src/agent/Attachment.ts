import type { Clock } from "../common/Clock.js";
import type { Log } from "../common/log/Log.js";
import { WireEvent } from "../common/log/WireEvent.js";
import type { MessageOf } from "../common/wire/MessageOf.js";
import type { AttachmentState } from "./AttachmentState.js";
import type { TimedChannel } from "./TimedChannel.js";

/** Longest time without a message to an attached entry, give or take one look. */
const HEARTBEAT_MS = 1000;

/** Time between two looks at an attached connection. */
const LOOK_MS = 250;

const MISSED_HEARTBEATS = 3;
const ATTACH_TIMEOUT_MS = 3000;

/** What a heartbeat tells. */
type Report = Omit<MessageOf<"heartbeat">, "kind">;

/** One connection to an entry, with its heartbeats and its state. */
export class Attachment {
    public state: AttachmentState = "connected";
    private heardAt: number;
    private stateSince: number;
    private told: Report | undefined;
    private cancelTimer: () => void = () => undefined;

    constructor(
        public readonly channel: TimedChannel,
        private readonly report: () => Report,
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
        this.cancelTimer = this.clock.schedule(LOOK_MS, () => {
            this.look();
        });
    }

    private look(): void {
        const limitMs = this.isAttached ? MISSED_HEARTBEATS * HEARTBEAT_MS : ATTACH_TIMEOUT_MS;
        if (this.clock.now() - this.heardAt > limitMs) {
            this.log.write(WireEvent.HeartbeatLost, { peer: this.id, state: this.state });
            this.channel.dispose();
            return;
        }
        if (this.isAttached) {
            this.beat();
        }
        this.schedule();
    }

    /** Any message is a sign of life. A heartbeat tells a new revision at once and a new load after a second of silence. */
    private beat(): void {
        const report = this.report();
        const isSilent = this.clock.now() - this.channel.sentAt >= HEARTBEAT_MS;
        const isAdopted = report.revision !== this.told?.revision || report.section !== this.told.section;
        if (isAdopted || (isSilent && report.load !== this.told?.load)) {
            this.told = report;
            this.channel.send({ kind: "heartbeat", ...report });
        }
        else if (isSilent) {
            this.channel.send({ kind: "alive" });
        }
    }
}
