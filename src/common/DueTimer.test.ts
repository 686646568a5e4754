import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DueTimer } from "./DueTimer.js";
import { VirtualClock } from "./VirtualClock.js";

describe("DueTimer", () => {
    function record(): { readonly clock: VirtualClock; readonly timer: DueTimer; readonly fired: number[]; } {
        const clock = new VirtualClock();
        const fired: number[] = [];
        return { clock, fired, timer: new DueTimer(clock, () => fired.push(clock.now())) };
    }

    it("guards against something urgent that waits for a later time that was asked for first", () => {
        const { clock, timer, fired } = record();
        const start = clock.now();
        timer.within(100);
        timer.within(4);
        timer.within(50);
        clock.advance(200);
        assert.deepEqual(fired.map(at => at - start), [4]);
    });

    it("guards against a timer that fires once only, or after its end", () => {
        const { clock, timer, fired } = record();
        timer.within(1);
        clock.advance(2);
        timer.within(1);
        clock.advance(2);
        timer.within(1);
        timer.dispose();
        clock.advance(10);
        assert.equal(fired.length, 2);
    });
});
