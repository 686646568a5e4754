import type { Event } from "../common/Event.js";
import type { Member } from "../common/wire/Member.js";

/** Entries of this region that are live now, as this process sees them. It is a hint and carries no safety. */
export interface MemberView {
    /** Live entries including this one, without those that are draining. */
    live(): readonly Member[];
    /** Home of a shard: the live entry with the highest rendezvous hash. */
    home(service: string, shard: number): Member | undefined;
    /** Fires after a member joined, left or changed. */
    readonly onChange: Event<void>;
}
