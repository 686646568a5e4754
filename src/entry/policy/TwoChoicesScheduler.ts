import type { Random } from "../../common/Random.js";
import { EarlyBindingScheduler } from "./EarlyBindingScheduler.js";

/**
 * Baseline for comparisons: binds each task to the less loaded of two random agents, by queued tasks less free credits.
 */
export class TwoChoicesScheduler extends EarlyBindingScheduler {
    constructor(private readonly random: Random) {
        super();
    }

    protected choose(agents: readonly string[]): string | undefined {
        const first = this.draw(agents);
        const second = this.draw(agents);
        return this.load(second) < this.load(first) ? second : first;
    }

    private draw(agents: readonly string[]): string {
        return agents[Math.floor(this.random.next() * agents.length)] ?? "";
    }

    private load(agent: string): number {
        return this.queueLength(agent) - this.freeCredits(agent);
    }
}
