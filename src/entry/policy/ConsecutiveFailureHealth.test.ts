import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConsecutiveFailureHealth } from "./ConsecutiveFailureHealth.js";

const MAX_PROBE_MS = 30_000;

/** Returns the health of four agents, of which `a0` was ejected at time 0. */
function ejected(): ConsecutiveFailureHealth {
    const health = new ConsecutiveFailureHealth();
    ["a0", "a1", "a2", "a3"].forEach(agent => health.add(agent));
    [1, 2, 3].forEach(attempt => health.recordFailure("a0", `t/${attempt}`, 0));
    assert.equal(health.isEjected("a0"), true);
    return health;
}

describe("ConsecutiveFailureHealth", () => {
    it("doubles the probe interval up to 30 s, so that an unhealthy agent is not probed every second for ever", () => {
        const health = ejected();
        let now = health.probeAt("a0")!;
        assert.equal(now, 1000);
        for (let interval = 2000; interval < 100_000; interval *= 2) {
            health.recordStart("a0", `probe/${interval}`, now);
            assert.equal(health.probeAt("a0"), undefined, "only one probe at a time");
            health.recordFailure("a0", `probe/${interval}`, now);
            assert.equal(health.probeAt("a0"), now + Math.min(interval, MAX_PROBE_MS));
            now = health.probeAt("a0")!;
        }
    });

    it("keeps the probe interval when the agent refuses the probe for a reason unrelated to its health", () => {
        const health = ejected();
        health.recordStart("a0", "probe", 1000);
        health.recordNeutralEnd("a0", "probe", 1000);
        assert.equal(health.probeAt("a0"), 2000);
    });

    it("does not take an agent back because of an attempt from before its ejection", () => {
        const health = ejected();
        health.recordSuccess("a0", "old");
        assert.equal(health.isEjected("a0"), true);
    });

    it("resets the failures of an agent that is added again", () => {
        const health = ejected();
        health.add("a0");
        assert.equal(health.isEjected("a0"), false);
        assert.equal(health.isSuspect("a0"), false);
    });
});
