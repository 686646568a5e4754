/** Shares service between teams by weight. Tags are in milliseconds of service per unit of weight. */
export interface FairShare {
    /** Start tag of the team's next task; the backlogged team with the smallest tag is furthest behind. */
    tag(team: string): number;
    /** Unused service that the team may still claim, in milliseconds per unit of weight. */
    claim(team: string): number;
    /**
     * Records that the smallest start tag of the backlogged teams is `tag`. A team that was idle may claim at most
     * `claimLimit` of the service that it left to others.
     */
    advance(tag: number, claimLimit: number): void;
    /** Charges the team for service; negative when less was used than charged before. */
    charge(team: string, costMs: number, weight: number): void;
}
