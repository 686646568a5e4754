import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SilentLog } from "../log/SilentLog.js";
import { SeededRandom } from "../SeededRandom.js";
import { VirtualClock } from "../VirtualClock.js";
import type { RowStore } from "./RowStore.js";
import { TableWatcher } from "./TableWatcher.js";

type RowsResult = Awaited<ReturnType<RowStore["read"]>>;

const unavailable: RowsResult = { kind: "unavailable", reason: "status 503" };
const row = (text: string, version: number): RowsResult => {
    return { kind: "rows", rows: [{ key: "k", value: Buffer.from(text) }], version };
};

async function follow(results: readonly RowsResult[]): Promise<{ received: string[]; calls: string[]; }> {
    const clock = new VirtualClock();
    const received: string[] = [];
    const calls: string[] = [];
    const remaining = [...results];
    const next = (call: string): Promise<RowsResult> => {
        calls.push(call);
        return remaining.length > 0 ? Promise.resolve(remaining.shift() ?? unavailable) : new Promise(() => undefined);
    };
    const store: RowStore = {
        read: () => next("read"),
        readRow: () => next("readRow"),
        follow: (_, version) => next(`follow ${version}`),
        write: () => Promise.resolve(undefined),
    };
    const onRow = (_: string, value: Buffer) => received.push(value.toString());
    new TableWatcher(store, "t", onRow, 1000, clock, new SeededRandom(1), new SilentLog()).start();
    for (let step = 0; step < 20; step += 1) {
        await new Promise(resolve => setImmediate(resolve));
        clock.advance(300);
    }
    return { received, calls };
}

describe("TableWatcher", () => {
    it("guards against a missed change between reading and following", async () => {
        const { received, calls } = await follow([row("a", 5), row("b", 9)]);
        assert.deepEqual(received, ["a", "b"]);
        assert.deepEqual(calls, ["read", "follow 5", "follow 9"]);
    });

    it("guards against an outage after which changes are no longer followed or are missed", async () => {
        const { received, calls } = await follow([unavailable, row("a", 5), unavailable, unavailable, row("b", 6)]);
        assert.deepEqual(received, ["a", "b"]);
        assert.deepEqual(calls, ["read", "read", "follow 5", "follow 5", "follow 5", "follow 6"]);
    });

    it("guards against a change that is missed because the store no longer has its history", async () => {
        const { received, calls } = await follow([row("a", 5), { kind: "expired" }, row("c", 9)]);
        assert.deepEqual(received, ["a", "c"]);
        assert.deepEqual(calls, ["read", "follow 5", "read", "follow 9"]);
    });
});
