import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RunResult } from "../../common/leased/RunResult.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import { ReportedEnds } from "./ReportedEnds.js";

const COMPLETION = { task: "t", run: 2, result: RunResult.Stopped, ranMs: 10, reason: "endpoint deregistered" };

describe("ReportedEnds", () => {
    it("returns the end that a later list contradicts, once", () => {
        const clock = new VirtualClock();
        const ends = new ReportedEnds(clock);
        const reportedAt = clock.now();
        ends.add(COMPLETION);
        clock.advance(5);
        assert.deepEqual(ends.takeContradicted("t", clock.now()), { completion: COMPLETION, reportedAt });
        assert.equal(ends.takeContradicted("t", clock.now()), undefined);
    });

    it("ignores lists requested before the report, and other tasks", () => {
        const clock = new VirtualClock();
        const ends = new ReportedEnds(clock);
        const sentAt = clock.now();
        clock.advance(5);
        ends.add(COMPLETION);
        assert.equal(ends.takeContradicted("t", sentAt), undefined);
        assert.equal(ends.takeContradicted("other", clock.now() + 1), undefined);
    });

    it("drops ends after their retention time", () => {
        const clock = new VirtualClock();
        const ends = new ReportedEnds(clock);
        ends.add(COMPLETION);
        clock.advance(3001);
        ends.add({ ...COMPLETION, task: "u" });
        clock.advance(1);
        assert.equal(ends.takeContradicted("t", clock.now()), undefined);
        assert.notEqual(ends.takeContradicted("u", clock.now()), undefined);
    });
});
