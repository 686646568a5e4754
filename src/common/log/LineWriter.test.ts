import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LineWriter } from "./LineWriter.js";

describe("LineWriter", () => {
    it("guards against a slow reader that blocks the process or fills its memory", () => {
        const sink = { writableLength: 512 * 1024, write: () => assert.fail("nothing may be written") };
        const writer = new LineWriter(sink);
        writer.write("line");
        writer.flush();
        assert.equal(writer.droppedLines, 1);
    });

    it("guards against an unbounded number of lines a second", () => {
        let now = 0;
        const written: string[] = [];
        const writer = new LineWriter({ writableLength: 0, write: text => written.push(text) }, () => now);
        for (let line = 0; line < 1000; line += 1) {
            writer.write("line");
        }
        writer.flush();
        const first = written.join("").split("\n").length - 1;
        assert.ok(first < 1000 && writer.droppedLines === 1000 - first);
        now = 1000;
        writer.write("later");
        writer.flush();
        assert.equal(written.at(-1), "later\n");
    });
});
