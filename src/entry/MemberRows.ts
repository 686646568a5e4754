import type { Member } from "../common/wire/Member.js";
import type { MemberView } from "./MemberView.js";

/** Member view with the rows of draining entries too. */
export interface MemberRows extends MemberView {
    /** Live entries including this one and those that are draining. */
    rows(): readonly Member[];
}
