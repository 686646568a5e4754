import { SizeClass } from "./SizeClass.js";
import { sizeClassLimitMs } from "./sizeClassLimitMs.js";

/** Returns the size class of a run time in milliseconds. */
export function sizeClassOf(runMs: number): SizeClass {
    if (runMs <= sizeClassLimitMs(SizeClass.Short)) {
        return SizeClass.Short;
    }
    return runMs <= sizeClassLimitMs(SizeClass.Medium) ? SizeClass.Medium : SizeClass.Long;
}
