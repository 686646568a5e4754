import type { Resources } from "./Resources.js";

/** Returns `base` plus `times` times `change`; a negative `times` subtracts. */
export function addResources(base: Resources, change: Resources, times = 1): Resources {
    return {
        cpu: base.cpu + change.cpu * times,
        memoryMb: base.memoryMb + change.memoryMb * times,
        gpu: base.gpu + change.gpu * times,
    };
}
