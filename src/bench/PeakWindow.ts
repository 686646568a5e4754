import type { Scenario } from "./Scenario.js";

/** Phase of a scenario with a load above capacity; times are milliseconds from the start of the run. */
export class PeakWindow {
    private constructor(
        public readonly start: number,
        public readonly end: number,
        public readonly load: number,
    ) {}

    /** Returns the first overloaded phase, or undefined when there is none. */
    public static find(scenario: Scenario): PeakWindow | undefined {
        let start = 0;
        for (const phase of scenario.phases) {
            if (phase.load > 1) {
                return new PeakWindow(start, start + phase.durationMs, phase.load);
            }
            start += phase.durationMs;
        }
        return undefined;
    }

    /** Returns the length of the overlap of the window with the time from `from` to `to`. */
    public overlap(from: number, to: number): number {
        return Math.max(0, Math.min(to, this.end) - Math.max(from, this.start));
    }

    public contains(at: number): boolean {
        return at >= this.start && at < this.end;
    }
}
