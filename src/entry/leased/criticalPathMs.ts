import type { Step } from "../../common/leased/Step.js";

/** Declared run time of the longest chain of dependent steps, in milliseconds. Steps depend only on earlier ones. */
export function criticalPathMs(steps: readonly Step[]): number {
    const ends: number[] = [];
    for (const step of steps) {
        const begins = Math.max(0, ...step.after.map(number => ends[number] ?? 0));
        ends.push(begins + step.estimateMs);
    }
    return Math.max(0, ...ends);
}
