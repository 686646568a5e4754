/** Class of a job in the reports, by its number of tasks and their run time. */
export const JobClass = {
    /** One task of at most 100 ms. */
    ShortSingle: "short single",
    /** One longer task. */
    Single: "single",
    /** 2 to 20 tasks. */
    Small: "small",
    /** 21 to 400 tasks. */
    Large: "large",
} as const;

export type JobClass = typeof JobClass[keyof typeof JobClass];
