import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LEASE_TIMES } from "./LEASE_TIMES.js";

/** A caller that lost its answer submits again after this time. */
const RESUBMIT_MS = 1300;

/** Longest time that an endpoint takes for a stop; the end of a lease is given as much. */
const STOP_MS = 50;

/** Left for messages and timers that are late. */
const MARGIN_MS = 20;

/** Longest time from the last tenure of an entry to the end of its runs, where the agent stands still when it ends. */
const LONGEST_RUN_MS = (LEASE_TIMES.ENTRY_LEASE_MS + LEASE_TIMES.ENDPOINT_LEASE_MS) / LEASE_TIMES.MIN_CLOCK_RATE
    + STOP_MS;

describe("LEASE_TIMES", () => {
    it("guards against a run that is there when the caller of its lost entry submits again", () => {
        assert.ok(LONGEST_RUN_MS + MARGIN_MS <= RESUBMIT_MS, `${LONGEST_RUN_MS} ms`);
    });

    it("guards against a run that is there when its entry starts the task of a silent agent again", () => {
        const {
            AGENT_TIMEOUT_MS,
            MAX_REPORT_AGE_MS,
            LOST_RUN_EXPIRY_MS,
        } = LEASE_TIMES;
        const longestMs = LONGEST_RUN_MS - (AGENT_TIMEOUT_MS - MAX_REPORT_AGE_MS);
        assert.ok(longestMs + MARGIN_MS <= LOST_RUN_EXPIRY_MS, `${longestMs} ms`);
    });
});
