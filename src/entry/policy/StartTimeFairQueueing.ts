import type { FairShare } from "./FairShare.js";

/**
 * Start-time fair queueing with a bounded lag: a team that was idle resumes slightly before the virtual time, so that
 * it can catch up on part of the service that it left to others. Without that, teams whose jobs come in bursts stay
 * below their fair share while others always have work queued.
 */
export class StartTimeFairQueueing implements FairShare {
    private readonly finishTags = new Map<string, number>();
    private virtualTime = 0;
    private maxLag = 0;

    public tag(team: string): number {
        return Math.max(this.virtualTime - this.maxLag, this.finishTags.get(team) ?? 0);
    }

    public lag(team: string): number {
        return Math.max(0, this.virtualTime - this.tag(team));
    }

    public advance(tag: number, maxLag: number): void {
        this.maxLag = maxLag;
        this.virtualTime = Math.max(this.virtualTime, tag);
    }

    public charge(team: string, costMs: number, weight: number): void {
        const from = costMs >= 0 ? this.tag(team) : this.finishTags.get(team) ?? 0;
        this.finishTags.set(team, from + costMs / weight);
    }
}
