/** Agents of a trial, each with the same number of slots. */
export interface TrialCluster {
    readonly slots: number;
    /** Factor on the run times at each agent: 2 takes twice as long. */
    readonly ratios: readonly number[];
}
