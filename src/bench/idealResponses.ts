import { Discipline } from "./Discipline.js";
import { IdealQueue } from "./IdealQueue.js";
import type { PlannedJob } from "./PlannedJob.js";
import type { Profile } from "./Profile.js";

/** Response times (ms by job index) of the discipline with the lowest mean response on this workload. */
export function idealResponses(profile: Profile, jobs: readonly PlannedJob[]): ReadonlyMap<number, number> {
    const candidates = Object.values(Discipline).map(discipline => new IdealQueue(profile, discipline).run(jobs));
    return candidates.reduce((best, candidate) => sumOf(candidate) < sumOf(best) ? candidate : best);
}

function sumOf(responses: ReadonlyMap<number, number>): number {
    let sum = 0;
    for (const response of responses.values()) {
        sum += response;
    }
    return sum;
}
