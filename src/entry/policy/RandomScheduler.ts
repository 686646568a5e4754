import type { Random } from "../../common/Random.js";
import { EarlyBindingScheduler } from "./EarlyBindingScheduler.js";

/** Baseline for comparisons: binds each task to a random agent. */
export class RandomScheduler extends EarlyBindingScheduler {
    constructor(private readonly random: Random) {
        super();
    }

    protected choose(agents: readonly string[]): string | undefined {
        return agents[Math.floor(this.random.next() * agents.length)];
    }
}
