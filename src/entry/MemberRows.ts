import type { Member } from "../common/wire/Member.js";
import type { MemberView } from "./MemberView.js";

/** Member view that also has the rows of draining entries. */
export interface MemberRows extends MemberView {
    /** Live entries, including this one and those that are draining. */
    rows(): readonly Member[];
}
