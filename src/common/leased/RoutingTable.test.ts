import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RoutingTable } from "./RoutingTable.js";

const route = (name: string, prefix: string, host = "h") => ({
    name,
    host,
    prefix,
    service: "s",
    priority: 0,
    maxAttempts: 1,
    timeoutMs: 1,
    targetMs: 1,
    stretch: 1,
    advised: false,
});

describe("RoutingTable", () => {
    it("guards against a return to a lower version", () => {
        const table = new RoutingTable();
        const seen: number[] = [];
        table.onChange(document => seen.push(document.version));
        assert.equal(table.applyIfNewer({ version: 7, routes: [route("new", "/a/")], maxBodyBytes: 1 }), true);
        assert.equal(table.applyIfNewer({ version: 5, routes: [], maxBodyBytes: 1 }), false);
        assert.equal(table.applyIfNewer({ version: 7, routes: [], maxBodyBytes: 1 }), false);
        assert.equal(table.find("h", "/a/x")?.name, "new");
        assert.deepEqual(seen, [7]);
    });

    it("guards against a shorter prefix that hides a longer one, and routes of other hosts", () => {
        const table = new RoutingTable();
        const routes = [route("short", "/a/"), route("long", "/a/b/"), route("other", "/a/b/c/", "x")];
        table.applyIfNewer({ version: 1, routes, maxBodyBytes: 1 });
        assert.equal(table.find("h", "/a/b/c/1")?.name, "long");
        assert.equal(table.find("h", "/a/1")?.name, "short");
        assert.equal(table.find("h", "/b"), undefined);
    });
});
