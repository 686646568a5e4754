import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { OrderedRun } from "./OrderedRun.js";

/**
 * Whether a start at `clockMs` on the endpoint's clock may still take effect. A limit far in the future was calculated
 * on the clock of an earlier incarnation.
 */
export function isInStartWindow(run: OrderedRun, clockMs = Number.POSITIVE_INFINITY): boolean {
    return clockMs < run.startBeforeMs && run.startBeforeMs <= clockMs + 2 * LEASE_TIMES.START_WINDOW_MS;
}
