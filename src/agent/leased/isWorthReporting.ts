import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import type { Resources } from "../../common/leased/Resources.js";

/** Share of an endpoint's room below which each change decides whether another task fits. */
const SCARCE_SHARE = 0.5;

/** Change of the occupied share of a roomy endpoint from which entries would choose differently. */
const ROOM_CHANGE = 0.15;

/** Change of an endpoint's slowness from which entries would choose differently, as a share. */
const SLOWNESS_CHANGE = 0.1;

/**
 * Whether an entry that knows `told` would place its next tasks differently if it knew `now`. Heartbeats bring the rest.
 */
export function isWorthReporting(told: EndpointStatus | undefined, now: EndpointStatus): boolean {
    if (told === undefined || told.service !== now.service || told.capacity.cpu !== now.capacity.cpu) {
        return true;
    }
    if (Math.abs(now.slowness - told.slowness) > SLOWNESS_CHANGE * told.slowness) {
        return true;
    }
    const change = Math.abs(occupiedShare(now) - occupiedShare(told));
    const scarce = Math.max(occupiedShare(now), occupiedShare(told)) > 1 - SCARCE_SHARE;
    return change > (scarce ? 0 : ROOM_CHANGE);
}

/** Occupied share of the resource that is closest to its end. */
function occupiedShare({ capacity, used }: EndpointStatus): number {
    const shares = (Object.keys(capacity) as (keyof Resources)[]).map(name => used[name] / Math.max(1, capacity[name]));
    return Math.max(...shares);
}
