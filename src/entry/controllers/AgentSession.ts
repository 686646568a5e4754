import type { Clock } from "../../common/Clock.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Identity } from "../../common/wire/Identity.js";
import type { Message } from "../../common/wire/Message.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { AgentProfile } from "../policy/AgentProfile.js";

/** One attached agent incarnation and its channel. */
export class AgentSession {
    public readonly peer: Identity;
    public readonly service: string;
    public readonly profile: AgentProfile;
    /** Time of the last message from the agent. */
    public lastReceivedAt: number;
    public draining = false;
    /** Configuration document revision in the agent's last heartbeat; 0 when it has none. */
    public revision = 0;
    /** Revision of its service's section in the agent's last heartbeat; 0 when it has none. */
    public section = 0;
    /** Time at which the number of waiting tasks was last sent to the agent. */
    private loadSentAt: number;
    private sentLoad: number | undefined;

    constructor(
        public readonly channel: Channel,
        attach: MessageOf<"attach">,
        private readonly clock: Clock,
    ) {
        this.lastReceivedAt = clock.now();
        this.loadSentAt = this.lastReceivedAt;
        this.peer = channel.peer;
        this.service = attach.service;
        this.profile = {
            id: this.peer.incarnation,
            worker: this.peer.id,
            rack: attach.rack,
            failureDomain: this.peer.failureDomain,
            slots: attach.slots,
        };
    }

    public send(message: Message): boolean {
        if (message.kind === "start") {
            this.loadSentAt = this.clock.now();
            this.sentLoad = message.queued;
        }
        return this.channel.send(message);
    }

    /**
     * Sends a `heartbeat`, or an `alive` (keepalive) while the load stays 0. Sends nothing if one of them or a `start`
     * was sent within the last `intervalMs`.
     */
    public sendHeartbeat(load: number, revision: number, intervalMs: number): void {
        if (this.clock.now() - this.loadSentAt < intervalMs) {
            return;
        }
        this.loadSentAt = this.clock.now();
        this.channel.send(
            load === 0 && this.sentLoad === 0 ? { kind: "alive" } : { kind: "heartbeat", load, revision },
        );
        this.sentLoad = load;
    }
}
