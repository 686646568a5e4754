import type { Message } from "../../common/wire/Message.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { AgentProfile } from "../policy/AgentProfile.js";

/** Event on the channel of an attached agent. `agent` is the agent's incarnation. */
export type AgentChannelEvent =
    | { readonly kind: "attached"; readonly service: string; readonly agent: string; readonly profile: AgentProfile; }
    | { readonly kind: "detached"; readonly service: string; readonly agent: string; }
    /** The agent process has certainly ended: its address refuses connections or answers with another incarnation. */
    | { readonly kind: "lost"; readonly service: string; readonly agent: string; }
    | { readonly kind: "credit"; readonly service: string; readonly agent: string; readonly count: number; }
    | { readonly kind: "reclaim"; readonly service: string; readonly agent: string; readonly count: number; }
    | { readonly kind: "draining"; readonly service: string; readonly agent: string; }
    | {
        readonly kind: "outcome";
        readonly service: string;
        readonly agent: string;
        readonly report: MessageOf<"outcome">;
    }
    | {
        readonly kind: "revoked";
        readonly service: string;
        readonly agent: string;
        readonly report: MessageOf<"revoked">;
    }
    /** Configuration message: sections that the agent has, or a request for missing ones. */
    | {
        readonly kind: "state";
        readonly service: string;
        readonly agent: string;
        readonly message: MessageOf<"configuration" | "pull">;
        readonly reply: (message: Message) => boolean;
    }
    | { readonly kind: "fenced"; readonly service: string; readonly agent: string; readonly issuer: string; };
