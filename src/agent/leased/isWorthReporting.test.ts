import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import { isWorthReporting } from "./isWorthReporting.js";

const condition = (cpu: number, fields: Partial<EndpointStatus> = {}): EndpointStatus => ({
    service: "s",
    endpoint: "e",
    labels: [],
    capacity: { cpu: 64_000, memoryMb: 1000, gpu: 0 },
    used: { cpu, memoryMb: 64, gpu: 0 },
    accepting: true,
    slowness: 1,
    clockMs: 1,
    ...fields,
});

describe("isWorthReporting", () => {
    it("guards against an entry that believes a full endpoint has free capacity, or the other way round", () => {
        assert.equal(isWorthReporting(condition(50_000), condition(60_000)), true);
        assert.equal(isWorthReporting(condition(60_000), condition(50_000)), true);
        assert.equal(
            isWorthReporting(condition(10_000, { used: { cpu: 0, memoryMb: 950, gpu: 0 } }), condition(0)),
            true,
        );
    });

    it("guards against a report for each task of an endpoint with plenty of free capacity", () => {
        assert.equal(isWorthReporting(condition(10_000), condition(18_000)), false);
        assert.equal(isWorthReporting(condition(10_000), condition(20_000)), true);
    });

    it("guards against an unreported slowdown of an endpoint", () => {
        assert.equal(isWorthReporting(condition(0), condition(0, { slowness: 1.05 })), false);
        assert.equal(isWorthReporting(condition(0), condition(0, { slowness: 1.5 })), true);
    });

    it("guards against an entry without any report", () => {
        assert.equal(isWorthReporting(undefined, condition(0)), true);
        assert.equal(isWorthReporting(condition(0, { service: "other" }), condition(0)), true);
    });
});
