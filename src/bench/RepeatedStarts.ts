/** Tasks that endpoints started more than once. */
export interface RepeatedStarts {
    /** Tasks that were not repeatable; must be 0. */
    readonly duplicates: number;
    /** Repeatable tasks that were started again after they had run and failed. */
    readonly retried: number;
}
