import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { fairShares } from "./fairShares.js";

describe("fairShares", () => {
    it("gives a team no more than its demand and divides the rest", () => {
        const shares = fairShares(new Map([["a", 10], ["b", 100], ["c", 200]]), 90);
        assert.deepEqual([...shares], [["a", 10], ["b", 40], ["c", 40]]);
    });

    it("gives every team its demand when there is enough", () => {
        const shares = fairShares(new Map([["a", 10], ["b", 20]]), 90);
        assert.deepEqual([...shares], [["a", 10], ["b", 20]]);
    });
});
