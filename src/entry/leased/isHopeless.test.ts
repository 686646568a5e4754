import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import { isHopeless } from "./isHopeless.js";
import type { LeasedJob } from "./LeasedJob.js";

const condition = (cpu: number, labels: readonly string[] = []): EndpointStatus => ({
    service: "s",
    endpoint: "e",
    labels,
    capacity: { cpu, memoryMb: 1000, gpu: 0 },
    used: { cpu: 0, memoryMb: 0, gpu: 0 },
    accepting: true,
    slowness: 1,
    clockMs: 1,
});

const views = (...conditions: (EndpointStatus | undefined)[]) => {
    return conditions.map(current => ({ current }));
};

const job = (...needs: { readonly cpu: number; readonly label?: string; }[]) => {
    const steps = needs.map(({ cpu, label }) => ({ need: { cpu, memoryMb: 1, gpu: 0 }, requiredLabel: label }));
    return { route: { service: "s" }, order: { steps } } as unknown as LeasedJob;
};

describe("isHopeless", () => {
    it("guards against a later step that no endpoint has room for", () => {
        assert.equal(isHopeless(job({ cpu: 1 }, { cpu: 2 }), views(condition(2))), false);
        assert.equal(isHopeless(job({ cpu: 1 }, { cpu: 3 }), views(condition(2))), true);
    });

    it("guards against a label that only other endpoints have", () => {
        assert.equal(isHopeless(job({ cpu: 1, label: "a" }), views(condition(2, ["b"]), condition(2, ["a"]))), false);
        assert.equal(isHopeless(job({ cpu: 1, label: "c" }), views(condition(2, ["b"]))), true);
    });

    it("guards against a refusal while no endpoint of the service is known", () => {
        assert.equal(isHopeless(job({ cpu: 3 }), views()), false);
        assert.equal(isHopeless(job({ cpu: 3 }), views(undefined, { ...condition(2), service: "other" })), false);
    });
});
