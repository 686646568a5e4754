import type { Clock } from "../../common/Clock.js";
import type { Log } from "../../common/log/Log.js";
import { LeaseEvent } from "./LeaseEvent.js";
import { STOP_REPEAT_MS } from "./STOP_REPEAT_MS.js";
import type { StopCalls } from "./StopCalls.js";

/** Stops runs that no attached entry has ordered, such as those that an earlier process of this agent has started. */
export class OrphanedRunStops {
    /** Time at which the next stop is due, by task. */
    private readonly dueAt = new Map<string, number>();

    constructor(
        private readonly stopCalls: StopCalls,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {}

    /** Stops an orphaned run, unless a stop of its task was sent shortly before. */
    public stop(task: string, run: number): void {
        const dueAt = this.dueAt.get(task) ?? 0;
        if (this.clock.now() < dueAt) {
            return;
        }
        this.dueAt.set(task, this.clock.now() + STOP_REPEAT_MS);
        this.log.write(LeaseEvent.OrphanedRunStopped, { task, run });
        void this.stopCalls.send(task, run);
    }

    /** Discards the state of an earlier incarnation. */
    public reset(): void {
        this.dueAt.clear();
    }
}
