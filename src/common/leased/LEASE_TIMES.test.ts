import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LEASE_TIMES } from "./LEASE_TIMES.js";

/** Time after which a caller that received no answer submits again. */
const RESUBMIT_MS = 1300;

/** Longest time that an endpoint needs for a stop; the same is allowed for the end of an expired lease. */
const STOP_MS = 50;

/** Margin for late messages and timers. */
const MARGIN_MS = 20;

/**
 * Longest time from the beginning of the last entry lease to the end of its runs, when the agent is paused as the lease
 * expires. A lease begins before the caller's connection ends, because the entry has read all input up to then.
 */
const LONGEST_RUN_MS = (LEASE_TIMES.ENTRY_LEASE_MS + LEASE_TIMES.ENDPOINT_LEASE_MS) / LEASE_TIMES.MIN_CLOCK_RATE
    + STOP_MS;

describe("LEASE_TIMES", () => {
    it("guards against a run that outlives its lost entry until the caller submits the job again", () => {
        assert.ok(LONGEST_RUN_MS + MARGIN_MS <= RESUBMIT_MS, `${LONGEST_RUN_MS} ms`);
    });

    it("guards against a run at a lost agent that outlives the time after which its entry starts the task again", () => {
        const longestMs = LONGEST_RUN_MS + MARGIN_MS;
        assert.ok(longestMs <= LEASE_TIMES.LOST_RUN_EXPIRY_MS, `${longestMs} ms`);
    });
});
