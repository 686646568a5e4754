import type { Random } from "../common/Random.js";
import type { EmulatedDeployment } from "./EmulatedDeployment.js";
import type { StallProfile } from "./StallProfile.js";

/** Makes entries and agents of a deployment stand still at random, singly and in groups. */
export class RandomStalls {
    constructor(
        private readonly deployment: EmulatedDeployment,
        private readonly profile: StallProfile,
        private readonly random: Random,
        /** Called when an entry is about to stall, with the duration. */
        private readonly handleEntryStall: (entry: number, ms: number) => void,
    ) {}

    /** Begins the stall of one process, or of a group of processes. */
    public begin(): void {
        const size = this.random.next() < 0.5 ? 1 : 1 + this.pick(this.profile.mostInGroup);
        for (let member = 0; member < size; member += 1) {
            this.stallOne();
        }
    }

    private stallOne(): void {
        const { duration, mostCallbacksBefore } = this.profile;
        const ms = duration.leastMs + this.random.next() * (duration.mostMs - duration.leastMs);
        const callbacks = this.pick(mostCallbacksBefore + 1);
        const { entries, endpoints } = this.deployment;
        const number = this.pick(entries.length + endpoints.length);
        if (number < entries.length) {
            this.deployment.stallEntry(number, ms, callbacks);
            this.handleEntryStall(number, ms);
        }
        else {
            this.deployment.stallAgent(number - entries.length, ms, callbacks);
        }
    }

    private pick(count: number): number {
        return Math.floor(this.random.next() * count);
    }
}
