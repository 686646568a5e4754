import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CountingLog } from "./CountingLog.js";
import { LogLevel } from "./LogLevel.js";

describe("CountingLog", () => {
    it("guards against lines of a log or its children that are not counted or not written", () => {
        const counts: string[] = [];
        const written: number[] = [];
        const log = { write: (event: { number: number; }) => written.push(event.number), child: () => log };
        const idle = () => undefined;
        const metrics = { increment: (name: string) => counts.push(name), gauge: idle, timing: idle, close: idle };
        const counting = new CountingLog(log, metrics);
        counting.write({ number: 1, level: LogLevel.Info, text: "" });
        counting.child({}).write({ number: 2, level: LogLevel.Info, text: "" }, { code: "draining" });
        assert.deepEqual(written, [1, 2]);
        assert.deepEqual(counts, ["events.1", "events.2", "events.2.draining"]);
    });
});
