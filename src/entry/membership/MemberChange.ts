/** Kind of change in a member row that changes the member view. */
export type MemberChange = "joined" | "replaced" | "draining";
