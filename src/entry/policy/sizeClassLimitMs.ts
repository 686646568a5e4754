import { SizeClass } from "./SizeClass.js";

const LIMITS_MS = { [SizeClass.Short]: 100, [SizeClass.Medium]: 1000, [SizeClass.Long]: Infinity };

/** Returns the longest run time that belongs to the size class, in milliseconds. */
export function sizeClassLimitMs(sizeClass: SizeClass): number {
    return LIMITS_MS[sizeClass];
}
