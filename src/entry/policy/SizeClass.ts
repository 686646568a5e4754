/** Class of a task by its run time. The numbers order the classes from short to long. */
export const SizeClass = {
    /** At most 100 ms. */
    Short: 0,
    /** At most 1 s. */
    Medium: 1,
    Long: 2,
} as const;

export type SizeClass = typeof SizeClass[keyof typeof SizeClass];
