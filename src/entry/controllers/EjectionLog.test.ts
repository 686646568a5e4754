import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Log } from "../../common/log/Log.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import { FifoScheduler } from "../policy/FifoScheduler.js";
import { EjectionLog } from "./EjectionLog.js";

class EjectingScheduler extends FifoScheduler {
    public current: readonly string[] = [];

    public override ejected(): readonly string[] {
        return this.current;
    }
}

describe("EjectionLog", () => {
    it("guards against an ejection or readmission that is not logged, and against repeated lines", () => {
        const clock = new VirtualClock();
        const lines: string[] = [];
        const log: Log = {
            write: (event, fields) => lines.push(`${event.number} ${String(fields?.["agent"])}`),
            child: () => log,
        };
        const ejections = new EjectionLog(clock, log);
        const scheduler = new EjectingScheduler();
        ejections.watch(scheduler);
        scheduler.current = ["a"];
        clock.advance(3000);
        scheduler.current = ["b"];
        clock.advance(1000);
        assert.deepEqual(lines, ["1036 a", "1036 b", "1037 a"]);
        ejections.dispose();
        scheduler.current = [];
        clock.advance(5000);
        assert.equal(lines.length, 3);
    });
});
