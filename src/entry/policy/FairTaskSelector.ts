import type { FairShare } from "./FairShare.js";
import { SizeClass } from "./SizeClass.js";
import type { TaskEntry } from "./TaskEntry.js";
import type { TaskGroup } from "./TaskGroup.js";
import type { TaskGroups } from "./TaskGroups.js";

/** Teams count as equally served while their service differs by less than their share of this time. */
const FAIR_SLACK_MS = 750;
/** Factor on that difference for short tasks, which use little service, so that the difference is soon made up for. */
const SHORT_SLACK_FACTOR = 8;
/** A team that was idle may catch up on at most its share of this time. */
const MAX_LAG_MS = 750;

/**
 * Chooses the next task: between teams by their fair shares, and within the chosen teams by the ordering of their jobs.
 */
export class FairTaskSelector {
    constructor(private readonly groups: TaskGroups, private readonly fairShare: FairShare) {}

    /**
     * Returns the task to start next, of the groups and size classes that may start one. The job with the smallest key
     * wins, among the teams that are about as far behind in service as the one furthest behind. `tagPerMs` is how fast
     * the tags grow while all slots are in use.
     */
    public next(
        mayStart: (group: TaskGroup) => boolean,
        classes: readonly SizeClass[],
        tagPerMs: number,
    ): TaskEntry | undefined {
        const groups: TaskGroup[] = [];
        let smallestStartTag = Infinity;
        for (const group of this.groups.all()) {
            const tag = smallestTag(group, classes);
            if (tag < Infinity && mayStart(group)) {
                groups.push(group);
                smallestStartTag = Math.min(smallestStartTag, tag);
            }
        }
        if (smallestStartTag === Infinity) {
            return undefined;
        }
        const slack = FAIR_SLACK_MS * tagPerMs;
        this.fairShare.advance(smallestStartTag, MAX_LAG_MS * tagPerMs);
        let best: TaskEntry | undefined;
        for (const group of groups) {
            for (const sizeClass of classes) {
                const job = group.lanes[sizeClass]?.best(smallestStartTag + slackOf(sizeClass, slack));
                if (job !== undefined && (best === undefined || job.key < best.job.key)) {
                    best = job.lanes[sizeClass]?.at(-1);
                }
            }
        }
        return best;
    }
}

function slackOf(sizeClass: SizeClass, slack: number): number {
    return sizeClass === SizeClass.Short ? slack * SHORT_SLACK_FACTOR : slack;
}

function smallestTag(group: TaskGroup, classes: readonly SizeClass[]): number {
    let smallest = Infinity;
    for (const sizeClass of classes) {
        smallest = Math.min(smallest, group.lanes[sizeClass]?.smallestTag ?? Infinity);
    }
    return smallest;
}
