import { IdealQueue } from "./IdealQueue.js";
import type { PlannedJob } from "./PlannedJob.js";
import type { Profile } from "./Profile.js";
import { QueueDiscipline } from "./QueueDiscipline.js";

/** Returns the response times (ms by job index) with the discipline that has the lowest mean response on these jobs. */
export function idealResponses(profile: Profile, jobs: readonly PlannedJob[]): ReadonlyMap<number, number> {
    const candidates = Object.values(QueueDiscipline).map(discipline => new IdealQueue(profile, discipline).run(jobs));
    return candidates.reduce((best, candidate) => sumOf(candidate) < sumOf(best) ? candidate : best);
}

function sumOf(responses: ReadonlyMap<number, number>): number {
    let sum = 0;
    for (const response of responses.values()) {
        sum += response;
    }
    return sum;
}
