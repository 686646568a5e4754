/** Order in which the ideal queue serves waiting tasks. */
export const Discipline = {
    /** Jobs in order of arrival. */
    FirstCome: "first come",
    /** Jobs with the least remaining work first. */
    LeastRemaining: "least remaining work",
} as const;

export type Discipline = typeof Discipline[keyof typeof Discipline];
