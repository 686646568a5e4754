import { randomBytes } from "node:crypto";

const INCARNATION_BYTES = 8;

/** Returns a fresh process incarnation: 16 hexadecimal digits, random, never reused. */
export function newIncarnation(): string {
    return randomBytes(INCARNATION_BYTES).toString("hex");
}
