import type { Step } from "../../common/leased/Step.js";

/** Declared run time of the longest chain of steps, in milliseconds. Steps name only earlier ones. */
export function chainMs(steps: readonly Step[]): number {
    const ends: number[] = [];
    for (const step of steps) {
        const begins = Math.max(0, ...step.after.map(number => ends[number] ?? 0));
        ends.push(begins + step.estimateMs);
    }
    return Math.max(0, ...ends);
}
