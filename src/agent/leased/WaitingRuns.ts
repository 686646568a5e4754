import { addResources } from "../../common/leased/addResources.js";
import { fits } from "../../common/leased/fits.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { EndpointSession } from "./EndpointSession.js";
import { isInStartWindow } from "./isInStartWindow.js";
import type { RunCalls } from "./RunCalls.js";
import { RunPhase } from "./RunPhase.js";
import type { RunTable } from "./RunTable.js";
import type { UnlistedEnds } from "./UnlistedEnds.js";

/** Starts waiting runs when there is free capacity for them, or returns them to their entries. */
export class WaitingRuns {
    /**
     * Whether starts wait for the next run list, because the endpoint had less free capacity than the agent calculated.
     */
    private blocked = false;

    constructor(
        private readonly session: EndpointSession,
        private readonly table: RunTable,
        private readonly calls: RunCalls,
        private readonly unlistedEnds: UnlistedEnds,
    ) {}

    /** Blocks starts until `unblock`. */
    public block(): void {
        this.blocked = true;
    }

    public unblock(): void {
        this.blocked = false;
    }

    /**
     * Starts waiting runs, first come first served, as long as they fit. They are returned while there is no endpoint
     * that takes runs.
     */
    public start(): void {
        if (!this.session.isRegistered) {
            this.returnExcess(0, "no endpoint registered");
            return;
        }
        const report = this.session.report;
        if (report === undefined || this.blocked || this.session.isLost || this.session.clockMs === undefined) {
            return;
        }
        let free = addResources(report.capacity, this.table.usedByStarted, -1);
        for (const run of this.table.all) {
            if (run.phase !== RunPhase.Waiting) {
                continue;
            }
            if (!fits(run.need, free)) {
                return;
            }
            if (!isInStartWindow(run, this.session.clockMs)) {
                continue;
            }
            free = addResources(free, run.need, -1);
            void this.calls.start(run);
        }
    }

    /** Returns all but the first `kept` of the waiting runs to their entries. */
    public returnExcess(kept: number, reason: string): void {
        const waiting = this.table.all.filter(run => run.phase === RunPhase.Waiting);
        for (const run of waiting.slice(kept)) {
            this.unlistedEnds.finish(run, RunResult.NotStarted, reason);
        }
    }
}
