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
    public heardAt: number;
    public draining = false;
    /** Document revision of the last heartbeat; 0 for none. */
    public revision = 0;
    /** Revision of the section of the agent's service, by its last heartbeat; 0 for none. */
    public section = 0;
    /** Time of the last message that told the agent how many tasks wait. */
    private toldAt: number;
    private toldLoad: number | undefined;

    constructor(
        public readonly channel: Channel,
        attach: MessageOf<"attach">,
        private readonly clock: Clock,
    ) {
        this.heardAt = clock.now();
        this.toldAt = this.heardAt;
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
            this.toldAt = this.clock.now();
            this.toldLoad = message.queued;
        }
        return this.channel.send(message);
    }

    /** Sends a heartbeat, or only a sign of life while no tasks wait, unless a `start` was sent within `intervalMs`. */
    public beat(load: number, revision: number, intervalMs: number): void {
        if (this.clock.now() - this.toldAt < intervalMs) {
            return;
        }
        this.toldAt = this.clock.now();
        this.channel.send(
            load === 0 && this.toldLoad === 0 ? { kind: "alive" } : { kind: "heartbeat", load, revision },
        );
        this.toldLoad = load;
    }
}
