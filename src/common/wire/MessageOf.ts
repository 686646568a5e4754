import type { Message } from "./Message.js";

/** Message type of one `kind`. */
export type MessageOf<K extends Message["kind"]> = Extract<Message, { readonly kind: K; }>;
