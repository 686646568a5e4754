import type { Event } from "../../common/Event.js";
import type { Message } from "../../common/wire/Message.js";
import type { AgentNotice } from "./AgentNotice.js";

/** Way from the jobs to the attached agents and back. */
export interface AgentLink {
    readonly onEvent: Event<AgentNotice>;
    /** True while the agent incarnation may start tasks, now or after it returns. */
    mayRun(agent: string): boolean;
    /** Sends to the agent incarnation; false when it is not attached, and then nothing was sent. */
    send(agent: string, message: Message): boolean;
}
