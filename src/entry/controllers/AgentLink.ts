import type { Event } from "../../common/Event.js";
import type { Message } from "../../common/wire/Message.js";
import type { AgentChannelEvent } from "./AgentChannelEvent.js";

/** Sends messages to the attached agents and reports the events of their channels. */
export interface AgentLink {
    readonly onEvent: Event<AgentChannelEvent>;
    /** True while the agent incarnation can start tasks: it is attached and not draining, or it may still reattach. */
    mayRun(agent: string): boolean;
    /** Sends a message to the agent incarnation. Returns false, without sending, when the agent is not attached. */
    send(agent: string, message: Message): boolean;
}
