import type { Random } from "./Random.js";

/** Repeatable generator (mulberry32) for tests and load runs; not for secrets. */
export class SeededRandom implements Random {
    private state: number;

    constructor(seed: number) {
        this.state = seed >>> 0;
    }

    public next(): number {
        this.state = (this.state + 0x6d2b79f5) >>> 0;
        let value = this.state;
        value = Math.imul(value ^ (value >>> 15), value | 1);
        value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
        return ((value ^ (value >>> 14)) >>> 0) / 4294967296;
    }
}
