import type { FairShare } from "./FairShare.js";

/** Start-time fair queueing: a team that was idle resumes at the virtual time and so saves up no claim. */
export class StartTimeFairShare implements FairShare {
    private readonly finishes = new Map<string, number>();
    private virtualTime = 0;

    public tag(team: string): number {
        return Math.max(this.virtualTime, this.finishes.get(team) ?? 0);
    }

    public advance(tag: number): void {
        this.virtualTime = Math.max(this.virtualTime, tag);
    }

    public charge(team: string, costMs: number, weight: number): void {
        const from = costMs >= 0 ? this.tag(team) : this.finishes.get(team) ?? 0;
        this.finishes.set(team, from + costMs / weight);
    }
}
