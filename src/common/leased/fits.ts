import type { Resources } from "./Resources.js";

/** Whether `need` fits into `free` in every resource. */
export function fits(need: Resources, free: Resources): boolean {
    return need.cpu <= free.cpu && need.memoryMb <= free.memoryMb && need.gpu <= free.gpu;
}
