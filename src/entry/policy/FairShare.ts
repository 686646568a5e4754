/** Shares service between teams by weight. Tags are in milliseconds of service per unit of weight. */
export interface FairShare {
    /** Start tag of the team's next task; the backlogged team with the smallest tag is furthest behind. */
    tag(team: string): number;
    /** Records that the smallest start tag of the backlogged teams is `tag`. */
    advance(tag: number): void;
    /** Charges the team for service; negative when less was used than charged before. */
    charge(team: string, costMs: number, weight: number): void;
}
