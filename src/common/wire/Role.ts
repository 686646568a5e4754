/** Role of a process on the wire. */
export const Role = {
    Entry: "entry",
    Agent: "agent",
} as const;

export type Role = typeof Role[keyof typeof Role];
