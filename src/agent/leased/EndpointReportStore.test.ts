import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RowStore } from "../../common/leased/RowStore.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import { EndpointReportStore } from "./EndpointReportStore.js";

const REPORT = {
    life: { id: "endpoint", bornMs: 7 },
    service: "s",
    capacity: { cpu: 1, memoryMb: 1, gpu: 0 },
    labels: ["a"],
    draining: false,
    sequence: 3,
};

/** In-memory store with one table, which can be made unavailable. */
class MemoryStore implements RowStore {
    public readonly rows = new Map<string, Buffer>();
    public writes = 0;
    public available = true;

    public read(): ReturnType<RowStore["read"]> {
        return Promise.resolve({ kind: "unavailable", reason: "not asked for" });
    }

    public follow(): ReturnType<RowStore["follow"]> {
        return Promise.resolve({ kind: "unavailable", reason: "not asked for" });
    }

    public readRow(_: string, key: string): ReturnType<RowStore["readRow"]> {
        const value = this.rows.get(key);
        const rows = value === undefined ? [] : [{ key, value }];
        return Promise.resolve(
            this.available ? { kind: "rows", rows, version: 1 } : { kind: "unavailable", reason: "down" },
        );
    }

    public write(_: string, key: string, value: Buffer | undefined): ReturnType<RowStore["write"]> {
        if (!this.available) {
            return Promise.resolve("down");
        }
        this.writes += 1;
        if (value === undefined) {
            this.rows.delete(key);
        }
        else {
            this.rows.set(key, value);
        }
        return Promise.resolve(undefined);
    }
}

async function settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}

describe("EndpointReportStore", () => {
    it("guards against a report that does not survive its process, or that counts as newer than a heartbeat", async () => {
        const store = new MemoryStore();
        new EndpointReportStore(store, "vm", new SilentLog()).save(REPORT);
        await settle();
        const recalled = await new EndpointReportStore(store, "vm", new SilentLog()).load();
        assert.deepEqual(recalled, { ...REPORT, sequence: -1 });
        assert.equal(await new EndpointReportStore(store, "other", new SilentLog()).load(), undefined);
    });

    it("guards against a write for each heartbeat", async () => {
        const store = new MemoryStore();
        const reportStore = new EndpointReportStore(store, "vm", new SilentLog());
        for (let sequence = 1; sequence <= 5; sequence += 1) {
            reportStore.save({ ...REPORT, sequence });
            await settle();
        }
        assert.equal(store.writes, 1);
        reportStore.save({ ...REPORT, draining: true });
        await settle();
        assert.equal(store.writes, 2);
    });

    it("guards against a report that is lost in a store outage, and against one that is not deleted", async () => {
        const store = new MemoryStore();
        const reportStore = new EndpointReportStore(store, "vm", new SilentLog());
        store.available = false;
        reportStore.save(REPORT);
        await settle();
        assert.equal(await reportStore.load(), undefined);
        store.available = true;
        reportStore.save(REPORT);
        await settle();
        assert.equal(store.rows.size, 1);
        reportStore.delete();
        await settle();
        assert.equal(store.rows.size, 0);
    });

    it("guards against an agent that fails on a row of another format", async () => {
        const store = new MemoryStore();
        store.rows.set("vm", Buffer.from('{"life":1}'));
        assert.equal(await new EndpointReportStore(store, "vm", new SilentLog()).load(), undefined);
    });
});
