import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CoalescingTimer } from "./CoalescingTimer.js";
import { VirtualClock } from "./VirtualClock.js";

describe("CoalescingTimer", () => {
    function record(): { readonly clock: VirtualClock; readonly timer: CoalescingTimer; readonly fired: number[]; } {
        const clock = new VirtualClock();
        const fired: number[] = [];
        return { clock, fired, timer: new CoalescingTimer(clock, () => fired.push(clock.now())) };
    }

    it("guards against an early request that waits for a later time that was requested first", () => {
        const { clock, timer, fired } = record();
        const start = clock.now();
        timer.fireWithin(100);
        timer.fireWithin(4);
        timer.fireWithin(50);
        clock.advance(200);
        assert.deepEqual(fired.map(at => at - start), [4]);
    });

    it("guards against a timer that cannot fire again, or fires after its disposal", () => {
        const { clock, timer, fired } = record();
        timer.fireWithin(1);
        clock.advance(2);
        timer.fireWithin(1);
        clock.advance(2);
        timer.fireWithin(1);
        timer.dispose();
        clock.advance(10);
        assert.equal(fired.length, 2);
    });
});
