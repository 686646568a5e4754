import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import type { Resources } from "../../common/leased/Resources.js";

/** Free share of an endpoint's capacity below which every change may decide whether another task fits. */
const SCARCE_SHARE = 0.5;

/**
 * Change of the used share above which entries may place tasks differently, while the endpoint has plenty of free
 * capacity.
 */
const USAGE_CHANGE = 0.15;

/** Relative change of an endpoint's slowdown factor above which entries may place tasks differently. */
const SLOWDOWN_CHANGE = 0.1;

/**
 * Whether an entry that was sent `lastSent` may place its next tasks differently once it knows `now`. Smaller changes
 * wait for the next heartbeat.
 */
export function isWorthReporting(lastSent: EndpointStatus | undefined, now: EndpointStatus): boolean {
    if (lastSent === undefined || lastSent.service !== now.service || lastSent.capacity.cpu !== now.capacity.cpu) {
        return true;
    }
    if (Math.abs(now.slowness - lastSent.slowness) > SLOWDOWN_CHANGE * lastSent.slowness) {
        return true;
    }
    const change = Math.abs(usedShare(now) - usedShare(lastSent));
    const scarce = Math.max(usedShare(now), usedShare(lastSent)) > 1 - SCARCE_SHARE;
    return change > (scarce ? 0 : USAGE_CHANGE);
}

/** Used share of the resource of which the smallest share is free. */
function usedShare({ capacity, used }: EndpointStatus): number {
    const shares = (Object.keys(capacity) as (keyof Resources)[]).map(name => used[name] / Math.max(1, capacity[name]));
    return Math.max(...shares);
}
