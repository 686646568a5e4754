import type { TaskGroup } from "./TaskGroup.js";
import { TeamLanes } from "./TeamLanes.js";

const SIZE_CLASSES = 3;

/**
 * Groups of jobs with equal agent sets, so that a job whose agents are busy blocks nobody else. The number of groups
 * grows with changes of the agent set within the life of a ticket, not with the number of jobs.
 */
export class TaskGroups {
    private readonly groups = new Set<TaskGroup>();

    public enter(agents: ReadonlySet<string>): TaskGroup {
        const group = this.find(agents) ?? this.create(agents);
        group.jobs += 1;
        return group;
    }

    public leave(group: TaskGroup): void {
        group.jobs -= 1;
        if (group.jobs === 0) {
            this.groups.delete(group);
        }
    }

    public all(): Iterable<TaskGroup> {
        return this.groups;
    }

    private find(agents: ReadonlySet<string>): TaskGroup | undefined {
        for (const group of this.groups) {
            if (group.agents === agents || sameSet(group.agents, agents)) {
                return group;
            }
        }
        return undefined;
    }

    private create(agents: ReadonlySet<string>): TaskGroup {
        const lanes = Array.from({ length: SIZE_CLASSES }, () => new TeamLanes());
        const group: TaskGroup = { agents: new Set(agents), lanes, jobs: 0 };
        this.groups.add(group);
        return group;
    }
}

function sameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
    if (a.size !== b.size) {
        return false;
    }
    for (const item of a) {
        if (!b.has(item)) {
            return false;
        }
    }
    return true;
}
