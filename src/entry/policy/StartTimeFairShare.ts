import type { FairShare } from "./FairShare.js";

/**
 * Start-time fair queueing with a bounded claim: a team that was idle resumes slightly before the virtual time. Without
 * it, teams whose jobs come in lumps stay below their fair share while others always have work queued.
 */
export class StartTimeFairShare implements FairShare {
    private readonly finishes = new Map<string, number>();
    private virtualTime = 0;
    private claimLimit = 0;

    public tag(team: string): number {
        return Math.max(this.virtualTime - this.claimLimit, this.finishes.get(team) ?? 0);
    }

    public claim(team: string): number {
        return Math.max(0, this.virtualTime - this.tag(team));
    }

    public advance(tag: number, claimLimit: number): void {
        this.claimLimit = claimLimit;
        this.virtualTime = Math.max(this.virtualTime, tag);
    }

    public charge(team: string, costMs: number, weight: number): void {
        const from = costMs >= 0 ? this.tag(team) : this.finishes.get(team) ?? 0;
        this.finishes.set(team, from + costMs / weight);
    }
}
