import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../common/VirtualClock.js";
import { EndpointClockEstimate } from "./EndpointClockEstimate.js";

describe("EndpointClockEstimate", () => {
    // A stalled agent then accepted an order of 3 s ago and started it in the next incarnation of its endpoint.
    it("guards against an estimate that a response from before a stall sets back", () => {
        const clock = new VirtualClock();
        const estimate = new EndpointClockEstimate(clock);
        estimate.observe(1000, 0);
        clock.advance(3000);
        estimate.observe(1040, 0);
        assert.equal(estimate.now(), 3940);
    });

    it("guards against an estimate that stays behind after a response that is read in time", () => {
        const clock = new VirtualClock();
        const estimate = new EndpointClockEstimate(clock);
        estimate.observe(1000, 0);
        clock.advance(3000);
        estimate.observe(4000, 2990);
        assert.equal(estimate.now(), 4000);
    });

    // Leases would end later than intended until such a clock had caught up.
    it("guards against an estimate that stays ahead of a clock that stood still", () => {
        const clock = new VirtualClock();
        const estimate = new EndpointClockEstimate(clock);
        estimate.observe(1000, 0);
        clock.advance(3000);
        estimate.observe(1040, 2990);
        assert.equal(estimate.now(), 1040);
    });

    it("guards against judging an incarnation by the clock of an earlier one", () => {
        const clock = new VirtualClock();
        const estimate = new EndpointClockEstimate(clock);
        estimate.observe(5000, 0);
        estimate.reset();
        assert.equal(estimate.now(), undefined);
        estimate.observe(7, 0);
        assert.equal(estimate.now(), 7);
    });
});
