/** Order in which the ideal queue serves jobs. */
export const QueueDiscipline = {
    /** Jobs in order of arrival (FCFS). */
    FirstCome: "first come",
    /** Jobs with the least remaining work first (SRPT). */
    LeastRemaining: "least remaining work",
} as const;

export type QueueDiscipline = typeof QueueDiscipline[keyof typeof QueueDiscipline];
