/** Source of random numbers, seeded where runs must repeat. */
export interface Random {
    /** Returns a number in [0, 1). */
    next(): number;
}
