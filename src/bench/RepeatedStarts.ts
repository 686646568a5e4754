/** Tasks that endpoints started more than once. */
export interface RepeatedStarts {
    /** Tasks that are not repeatable or belong to an unknown job; must be 0. */
    readonly duplicates: number;
    /** Repeatable tasks, which may be started again after they ran and failed. */
    readonly retried: number;
}
