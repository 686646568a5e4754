import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LinkCountTarget } from "./LinkCountTarget.js";

/** Agents that an entry should have, and the factor by which a settled deployment may deviate from it. */
const AGENTS_PER_ENTRY = 16;
const TOLERANCE = 1.5;

/** Minimum number of entries of an agent, so that it is not idle when one is lost or has no callers. */
const MIN_ENTRIES = 4;

const ROUNDS = 12;

/**
 * Lets `agents` agents adapt to the agent counts of `entries` entries, a third of them in each round; returns the
 * agents per entry.
 */
function simulateRounds(agents: number, entries: number): number {
    const targets = Array.from({ length: agents }, () => new LinkCountTarget());
    const perEntry = () => targets.reduce((sum, target) => sum + Math.min(entries, target.entries), 0) / entries;
    for (let round = 0; round < ROUNDS; round += 1) {
        targets.filter((_, index) => index % 3 === round % 3).forEach(target => target.adapt([perEntry()], entries));
    }
    return perEntry();
}

describe("LinkCountTarget", () => {
    describe("many agents", () => {
        it("guards against entries whose connections grow with the deployment", () => {
            for (const [agents, entries] of [[160, 35], [52, 8], [1750, 383]] as const) {
                const settled = simulateRounds(agents, entries);
                const least = (MIN_ENTRIES * agents) / entries;
                const most = Math.max(AGENTS_PER_ENTRY * TOLERANCE, least);
                const inBand = settled <= most && settled >= AGENTS_PER_ENTRY / TOLERANCE;
                assert.ok(inBand, `${settled} agents per entry with ${agents} agents and ${entries} entries`);
            }
        });
    });

    describe("few agents of a kind", () => {
        it("guards against entries that reach only some of them although many entries share them", () => {
            assert.equal(simulateRounds(11, 35), 11);
            assert.equal(simulateRounds(11, 4), 11);
        });
    });

    describe("an agent without agent counts from its entries", () => {
        it("guards against a change before the first entry has reported its agent count", () => {
            const target = new LinkCountTarget();
            const before = target.entries;
            assert.equal(target.adapt([], 35), false);
            assert.equal(target.entries, before);
        });
    });
});
