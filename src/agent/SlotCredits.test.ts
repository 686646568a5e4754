import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SlotCredits } from "./SlotCredits.js";

/** Credits of each entry, computed from the messages alone. */
class Entries {
    public readonly credits = new Map<string, number>();
    public readonly reclaimed = new Map<string, number>();
    public readonly slots = new SlotCredits<string>((key, message) => {
        const counts = message.kind === "credit" ? this.credits : this.reclaimed;
        counts.set(key, (counts.get(key) ?? 0) + message.count);
    });
}

const step = fc.record({
    kind: fc.constantFrom(
        "add",
        "remove",
        "start",
        "start",
        "finish",
        "finish",
        "release",
        "report",
        "resize",
        "retire",
        "restore",
    ),
    key: fc.constantFrom("a", "b", "c"),
    count: fc.nat(8),
});

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

function run(steps: readonly Step[]): void {
    const entries = new Entries();
    const { slots, credits } = entries;
    const present = new Set<string>();
    const running: string[] = [];
    let most = 8;
    slots.resize(most);
    for (const { kind, key, count } of steps) {
        if (kind === "add" && !present.has(key)) {
            present.add(key);
            credits.set(key, 0);
            slots.add(key);
        }
        else if (kind === "remove") {
            present.delete(key);
            credits.delete(key);
            slots.remove(key);
        }
        else if (kind === "start" && slots.spend(key, count)) {
            running.push(key);
            credits.set(key, (credits.get(key) ?? 0) - 1);
        }
        else if (kind === "finish" && running.length > 0) {
            const owner = running.shift() ?? "";
            if (slots.finish(owner)) {
                assert.ok(present.has(owner), "a credit went to an entry that was removed");
                credits.set(owner, (credits.get(owner) ?? 0) + 1);
            }
        }
        else if (kind === "release") {
            const released = Math.min(count, credits.get(key) ?? 0);
            credits.set(key, (credits.get(key) ?? 0) - released);
            slots.release(key, released);
        }
        else if (kind === "report") {
            slots.reportQueue(key, count);
        }
        else if (kind === "resize") {
            most = Math.max(count, slots.granted + slots.running);
            slots.resize(count);
        }
        else if (kind === "retire") {
            slots.retire(key);
        }
        else if (kind === "restore") {
            slots.restore(key);
        }
        assert.ok(slots.granted + slots.running <= most, `${slots.granted} + ${slots.running} exceed ${most} slots`);
        for (const name of present) {
            assert.equal(
                credits.get(name),
                slots.creditsOf(name),
                `entry ${name} counts credits differently than the agent`,
            );
        }
    }
}

describe("SlotCredits", () => {
    it("guards against more credits and running tasks than slots, and against diverging counts", () => {
        fc.assert(fc.property(fc.array(step, { maxLength: 120 }), run), { seed: 11, numRuns: 1500 });
    });

    it("guards against idle slots when one entry is attached", () => {
        const { slots, credits } = new Entries();
        slots.add("a");
        slots.resize(8);
        assert.equal(credits.get("a"), 8);
    });

    it("guards against a freed slot at an entry without a queue while another one queues tasks", () => {
        const { slots, credits } = new Entries();
        slots.resize(1);
        slots.add("a");
        slots.add("b");
        slots.spend("a", 0);
        slots.reportQueue("b", 5);
        assert.equal(slots.finish("a"), false);
        assert.equal(credits.get("b"), 1);
    });

    it("guards against starving an entry that joins: idle credits are reclaimed and passed on", () => {
        const { slots, credits, reclaimed } = new Entries();
        slots.resize(8);
        slots.add("a");
        slots.add("b");
        assert.equal(reclaimed.get("a"), 4);
        slots.release("a", 4);
        assert.equal(credits.get("b"), 4);
    });

    it("guards against a busy entry whose starts are its only reports of a queue, beside idle credits", () => {
        const { slots, reclaimed } = new Entries();
        slots.resize(2);
        slots.add("a");
        slots.add("b");
        slots.release("a", 1);
        assert.equal(slots.spend("b", 5), true);
        assert.equal(reclaimed.get("a"), 2);
    });

    it("guards against keeping credits at a home entry that was replaced", () => {
        const { slots, reclaimed, credits } = new Entries();
        slots.resize(8);
        slots.add("old");
        slots.add("new");
        slots.release("old", 4);
        slots.retire("old");
        assert.equal(reclaimed.get("old"), 8);
        slots.release("old", 4);
        assert.equal(credits.get("new"), 8);
    });

    it("guards against starving the queue of a home entry that was replaced", () => {
        const { slots, reclaimed, credits } = new Entries();
        slots.resize(4);
        slots.add("old");
        slots.reportQueue("old", 9);
        slots.add("new");
        slots.retire("old");
        assert.equal(reclaimed.get("old"), undefined);
        slots.spend("old", 8);
        assert.equal(slots.finish("old"), true);
        slots.reportQueue("old", 1);
        assert.equal(reclaimed.get("old"), 3);
        slots.release("old", 3);
        assert.equal(credits.get("new"), 3);
    });
});
