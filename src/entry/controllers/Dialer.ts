import type { Channel } from "../../common/wire/Channel.js";

/** Connects to the process at `ip:port` with this entry's identity; rejects with a fault. */
export type Dialer = (address: string) => Promise<Channel>;
