import type { FairShare } from "./FairShare.js";
import { SizeClass } from "./SizeClass.js";
import type { TaskEntry } from "./TaskEntry.js";
import type { TaskGroup } from "./TaskGroup.js";
import type { TaskGroups } from "./TaskGroups.js";

/** Teams whose service differs by less than their share of this time count as equally served. */
const FAIR_SLACK_MS = 750;
/** Short tasks cost little service, so that a larger difference is made up for soon. */
const SHORT_SLACK_FACTOR = 8;
/** A team that was idle may claim its share of this time. */
const FAIR_CLAIM_MS = 750;

/** Chooses the next task between teams by their fair share, and within the chosen teams by the order of their jobs. */
export class FairChoice {
    constructor(private readonly groups: TaskGroups, private readonly fairShare: FairShare) {}

    /**
     * Returns the next task among groups and classes that may start. Of the teams whose service is nearly as far behind
     * as that of the team furthest behind, the one with the best job is served. `tagPerMs` is the growth of the tags
     * while all slots are in use.
     */
    public next(
        usable: (group: TaskGroup) => boolean,
        classes: readonly SizeClass[],
        tagPerMs: number,
    ): TaskEntry | undefined {
        const groups: TaskGroup[] = [];
        let smallest = Infinity;
        for (const group of this.groups.all()) {
            const tag = smallestTag(group, classes);
            if (tag < Infinity && usable(group)) {
                groups.push(group);
                smallest = Math.min(smallest, tag);
            }
        }
        if (smallest === Infinity) {
            return undefined;
        }
        const slack = FAIR_SLACK_MS * tagPerMs;
        this.fairShare.advance(smallest, FAIR_CLAIM_MS * tagPerMs);
        let best: TaskEntry | undefined;
        for (const group of groups) {
            for (const sizeClass of classes) {
                const job = group.lanes[sizeClass]?.best(smallest + slackOf(sizeClass, slack));
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
