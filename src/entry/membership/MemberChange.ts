/** Change of a member row that readers of the member view notice. */
export type MemberChange = "joined" | "replaced" | "draining";
