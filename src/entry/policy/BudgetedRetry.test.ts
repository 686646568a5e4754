import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BudgetedRetry } from "./BudgetedRetry.js";

const LOWEST = { next: () => 0 };
const HIGHEST = { next: () => 1 - Number.EPSILON };

describe("BudgetedRetry", () => {
    it("doubles the upper bound of the back-off up to 1 s, with full jitter after failures", () => {
        assert.equal(new BudgetedRetry(LOWEST).afterFailure(1), 0);
        const bounds = [1, 2, 3].map(failures => Math.round(new BudgetedRetry(HIGHEST).afterFailure(failures) ?? NaN));
        assert.deepEqual(bounds, [20, 40, 80]);
    });

    it("keeps the back-off after refusals between 10 ms and 1 s, neither a tight loop nor a long pause", () => {
        for (let refusals = 1; refusals <= 100; refusals += 1) {
            assert.equal(new BudgetedRetry(LOWEST).afterRefusal(refusals), 10);
            assert.ok(new BudgetedRetry(HIGHEST).afterRefusal(refusals) <= 1000);
        }
        assert.equal(Math.round(new BudgetedRetry(HIGHEST).afterRefusal(100)), 1000);
    });

    it("gives up after 4 failures of a task, and when the budget is used up", () => {
        assert.equal(new BudgetedRetry(LOWEST).afterFailure(4), undefined);
        const retry = new BudgetedRetry(LOWEST);
        const allowed = Array.from({ length: 50 }, () => retry.afterFailure(1)).filter(delay => delay !== undefined);
        assert.equal(allowed.length, 10);
        Array.from({ length: 11 }, () => retry.recordFirstStart());
        assert.notEqual(retry.afterFailure(1), undefined);
    });
});
