import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { IndexedHeap } from "./IndexedHeap.js";

describe("IndexedHeap", () => {
    it("keeps the smallest key first through inserts, changes and deletions in any order", () => {
        const step = fc.record({ item: fc.nat(20), key: fc.integer(), remove: fc.boolean() });
        const check = (steps: readonly { item: number; key: number; remove: boolean; }[]) => {
            const heap = new IndexedHeap<number>();
            const model = new Map<number, number>();
            for (const { item, key, remove } of steps) {
                if (remove) {
                    assert.equal(heap.delete(item), model.delete(item));
                }
                else {
                    heap.set(item, key);
                    model.set(item, key);
                }
                assert.equal(heap.peekKey(), Math.min(...model.values()));
                assert.equal(heap.size, model.size);
            }
        };
        fc.assert(fc.property(fc.array(step, { maxLength: 100 }), check), { seed: 3, numRuns: 200 });
    });
});
