/**
 * Shares service between teams by weight, as fair queueing does. Tags are in milliseconds of service per unit of
 * weight.
 */
export interface FairShare {
    /**
     * Start tag of the team's next task. Of the teams with queued tasks, the one with the smallest tag is furthest
     * behind.
     */
    tag(team: string): number;
    /** Service that the team is owed and may still catch up on, in milliseconds per unit of weight. */
    lag(team: string): number;
    /**
     * Records that the smallest start tag of the teams with queued tasks is `tag`. A team that was idle may catch up on
     * at most `maxLag` of the service that it left to others.
     */
    advance(tag: number, maxLag: number): void;
    /** Charges the team for service; `costMs` is negative when less was used than had been charged before. */
    charge(team: string, costMs: number, weight: number): void;
}
