/** Source of random numbers; seeded where a run must be repeatable. */
export interface Random {
    /** Returns a number in [0, 1). */
    next(): number;
}
