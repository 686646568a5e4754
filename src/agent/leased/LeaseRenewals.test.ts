import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clock } from "../../common/Clock.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { LeaseRenewals } from "./LeaseRenewals.js";

/** Clock that moves with each reading, as the system's clock does. */
class MovingClock implements Clock {
    private time = 0;

    public now(): number {
        this.time += 0.01;
        return this.time;
    }

    public advance(ms: number): void {
        this.time += ms;
    }

    public schedule(): () => void {
        throw new Error("no timers here");
    }
}

const LEASE_MS = LEASE_TIMES.ENDPOINT_LEASE_MS;
const NEVER_LISTED = Number.NEGATIVE_INFINITY;

/** Longer than the lease of a poll on the slowest clock, with its margin. */
const EXPIRY_MS = 700;

describe("LeaseRenewals", () => {
    // The end of a refused poll must not remove the record of another one that is still in flight.
    it("guards against an expiry that is declared while an unanswered poll may have renewed the lease", () => {
        const clock = new MovingClock();
        const renewals = new LeaseRenewals(clock);
        const refused = renewals.begin(LEASE_MS);
        clock.advance(EXPIRY_MS);
        renewals.begin(LEASE_MS);
        renewals.settle(refused, true);
        clock.advance(100);
        assert.equal(renewals.hasExpired(NEVER_LISTED), false);
        assert.ok(renewals.ageMs < 101);
        clock.advance(EXPIRY_MS);
        assert.equal(renewals.hasExpired(NEVER_LISTED), true);
    });

    it("counts an answered renewal, and not a refused one", () => {
        const clock = new MovingClock();
        const renewals = new LeaseRenewals(clock);
        renewals.settle(renewals.begin(LEASE_MS), false);
        clock.advance(EXPIRY_MS / 2);
        renewals.settle(renewals.begin(LEASE_MS), true);
        assert.equal(renewals.hasExpired(NEVER_LISTED), false);
        clock.advance(EXPIRY_MS / 2);
        assert.equal(renewals.hasExpired(NEVER_LISTED), true);
    });
});
