import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SilentLog } from "../log/SilentLog.js";
import { SeededRandom } from "../SeededRandom.js";
import { VirtualClock } from "../VirtualClock.js";
import type { RowStore } from "./RowStore.js";
import { TableWatcher } from "./TableWatcher.js";

type Answer = Awaited<ReturnType<RowStore["read"]>>;

const unavailable: Answer = { kind: "unavailable", reason: "status 503" };
const row = (text: string, version: number): Answer => {
    return { kind: "rows", rows: [{ key: "k", value: Buffer.from(text) }], version };
};

async function follow(answers: readonly Answer[]): Promise<{ taken: string[]; calls: string[]; }> {
    const clock = new VirtualClock();
    const taken: string[] = [];
    const calls: string[] = [];
    const left = [...answers];
    const next = (call: string): Promise<Answer> => {
        calls.push(call);
        return left.length > 0 ? Promise.resolve(left.shift() ?? unavailable) : new Promise(() => undefined);
    };
    const store: RowStore = {
        read: () => next("read"),
        readRow: () => next("readRow"),
        follow: (_, version) => next(`follow ${version}`),
        write: () => Promise.resolve(undefined),
    };
    const take = (_: string, value: Buffer) => taken.push(value.toString());
    new TableWatcher(store, "t", take, 1000, clock, new SeededRandom(1), new SilentLog()).start();
    for (let step = 0; step < 20; step += 1) {
        await new Promise(resolve => setImmediate(resolve));
        clock.advance(300);
    }
    return { taken, calls };
}

describe("TableWatcher", () => {
    it("guards against a missed change between reading and following", async () => {
        const { taken, calls } = await follow([row("a", 5), row("b", 9)]);
        assert.deepEqual(taken, ["a", "b"]);
        assert.deepEqual(calls, ["read", "follow 5", "follow 9"]);
    });

    it("guards against an outage after which changes are no longer followed or are missed", async () => {
        const { taken, calls } = await follow([unavailable, row("a", 5), unavailable, unavailable, row("b", 6)]);
        assert.deepEqual(taken, ["a", "b"]);
        assert.deepEqual(calls, ["read", "read", "follow 5", "follow 5", "follow 5", "follow 6"]);
    });

    it("guards against a change that is missed because the store no longer has its history", async () => {
        const { taken, calls } = await follow([row("a", 5), { kind: "expired" }, row("c", 9)]);
        assert.deepEqual(taken, ["a", "c"]);
        assert.deepEqual(calls, ["read", "follow 5", "read", "follow 9"]);
    });
});
