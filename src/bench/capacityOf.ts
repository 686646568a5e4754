import type { Profile } from "./Profile.js";

/** Capacity of a profile in nominal work per time: the sum of slots times speed. */
export function capacityOf(profile: Profile): number {
    return profile.workers.reduce((sum, worker) => sum + worker.slots * worker.speed, 0);
}
