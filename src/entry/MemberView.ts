import type { Event } from "../common/Event.js";
import type { Member } from "../common/wire/Member.js";

/** Live entries of this region, as seen by this process. The view is a hint: safety does not depend on it. */
export interface MemberView {
    /** Live entries, including this one but not those that are draining. */
    live(): readonly Member[];
    /** Home entry of a shard: the live entry with the highest rendezvous hash. */
    home(service: string, shard: number): Member | undefined;
    /** Fires after a member joined, left or changed. */
    readonly onChange: Event<void>;
}
