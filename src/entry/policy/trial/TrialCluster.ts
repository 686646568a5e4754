/** Agents of a trial. */
export interface TrialCluster {
    readonly slots: number;
    /** Run time ratio of each agent: 2 takes twice as long. */
    readonly ratios: readonly number[];
}
