import type { Channel } from "../../common/wire/Channel.js";
import type { Identity } from "../../common/wire/Identity.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { AgentProfile } from "../policy/AgentProfile.js";

/** One attached agent incarnation and its channel. */
export class AgentSession {
    public readonly peer: Identity;
    public readonly service: string;
    public readonly profile: AgentProfile;
    public draining = false;
    /** Configuration revision of the last heartbeat; 0 for none. */
    public revision = 0;

    constructor(
        public readonly channel: Channel,
        attach: MessageOf<"attach">,
        /** Time of the last message from the agent. */
        public heardAt: number,
    ) {
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
}
