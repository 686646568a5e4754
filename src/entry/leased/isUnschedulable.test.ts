import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import { isUnschedulable } from "./isUnschedulable.js";
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

const views = (...statuses: (EndpointStatus | undefined)[]) => {
    return statuses.map(status => ({ status }));
};

const job = (...needs: { readonly cpu: number; readonly label?: string; }[]) => {
    const steps = needs.map(({ cpu, label }) => ({ need: { cpu, memoryMb: 1, gpu: 0 }, requiredLabel: label }));
    return { route: { service: "s" }, submission: { steps } } as unknown as LeasedJob;
};

describe("isUnschedulable", () => {
    it("guards against overlooking a later step that is too large for every endpoint", () => {
        assert.equal(isUnschedulable(job({ cpu: 1 }, { cpu: 2 }), views(condition(2))), false);
        assert.equal(isUnschedulable(job({ cpu: 1 }, { cpu: 3 }), views(condition(2))), true);
    });

    it("guards against ignoring the required label of a step", () => {
        assert.equal(
            isUnschedulable(job({ cpu: 1, label: "a" }), views(condition(2, ["b"]), condition(2, ["a"]))),
            false,
        );
        assert.equal(isUnschedulable(job({ cpu: 1, label: "c" }), views(condition(2, ["b"]))), true);
    });

    it("guards against a refusal while no endpoint of the service is known, which may still attach", () => {
        assert.equal(isUnschedulable(job({ cpu: 3 }), views()), false);
        assert.equal(isUnschedulable(job({ cpu: 3 }), views(undefined, { ...condition(2), service: "other" })), false);
    });
});
