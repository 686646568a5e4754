import type { Random } from "./Random.js";

/** Random numbers of the JavaScript engine. */
export class SystemRandom implements Random {
    public next(): number {
        return Math.random();
    }
}
