import type { Clock } from "../../common/Clock.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { RunResult } from "../../common/leased/RunResult.js";
import type { Log } from "../../common/log/Log.js";
import type { EndpointSession } from "./EndpointSession.js";
import type { LateStarts } from "./LateStarts.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { OrderedRun } from "./OrderedRun.js";
import type { RunCompletions } from "./RunCompletions.js";

/**
 * Longest time that a task stays at the agent of a lost endpoint because a start of it may still be executed: an entry
 * that loses the agent itself places the task again after the same time.
 */
const MAX_LOST_MS = LEASE_TIMES.LOST_RUN_EXPIRY_MS;

/** Finishes runs that no list of the current incarnation shows to be over, once no start of them can take effect. */
export class UnlistedEnds {
    constructor(
        private readonly session: EndpointSession,
        private readonly lateStarts: LateStarts,
        private readonly completions: RunCompletions,
        private readonly stopUncertain: (run: OrderedRun, reason: string) => void,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {}

    /**
     * Finishes a run that no list of the current incarnation shows to be over. While a start of the task is unanswered,
     * the next incarnation may still execute it. The run is therefore stopped first, and stays until an accepted stop
     * and a run list rule that start out. A lost endpoint sends no list, so a call of this method `MAX_LOST_MS` or more
     * after the first one finishes the run without it.
     */
    public finish(run: OrderedRun, result: RunResult, reason: string): void {
        if (!this.lateStarts.has(run.task) || this.session.report === undefined) {
            this.completions.finish(run, result, reason);
            return;
        }
        const now = this.clock.now();
        run.returnLostAt = Math.min(run.returnLostAt, now + MAX_LOST_MS);
        const waitsMs = Math.round(run.returnLostAt - now);
        if (waitsMs <= 0) {
            this.log.write(LeaseEvent.ReturnedUnresolved, { task: run.task, run: run.run, reason });
            this.completions.finish(run, result, reason);
            return;
        }
        this.log.write(LeaseEvent.ReturnDelayed, { task: run.task, run: run.run, reason, waitsMs });
        this.stopUncertain(run, reason);
    }
}
