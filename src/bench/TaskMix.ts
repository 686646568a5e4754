/** Distribution of run times: shares add up to 1, bounds are nominal milliseconds. */
export interface TaskMix {
    readonly classes: readonly { readonly share: number; readonly minMs: number; readonly maxMs: number; }[];
    /** Share of tasks that run `stragglerFactor` times longer than drawn from their class. */
    readonly stragglerShare: number;
    readonly stragglerFactor: number;
}
