import type { TaskGroup } from "./TaskGroup.js";
import { TeamLanes } from "./TeamLanes.js";

const SIZE_CLASSES = 3;

/**
 * Groups jobs with equal agent sets, so that a job whose agents are busy does not block jobs for other agents. The
 * number of groups depends on how often the agent set changes during the lifetime of a ticket, not on the number of
 * jobs.
 */
export class TaskGroups {
    private readonly groups = new Map<string, TaskGroup>();

    public join(agents: ReadonlySet<string>): TaskGroup {
        const key = keyOf(agents);
        const group = this.groups.get(key) ?? this.create(key, agents);
        group.jobs += 1;
        return group;
    }

    public leave(group: TaskGroup): void {
        group.jobs -= 1;
        if (group.jobs === 0) {
            this.groups.delete(group.key);
        }
    }

    public all(): Iterable<TaskGroup> {
        return this.groups.values();
    }

    private create(key: string, agents: ReadonlySet<string>): TaskGroup {
        const lanes = Array.from({ length: SIZE_CLASSES }, () => new TeamLanes());
        const group: TaskGroup = { key, agents: new Set(agents), lanes, jobs: 0 };
        this.groups.set(key, group);
        return group;
    }
}

function keyOf(agents: ReadonlySet<string>): string {
    return JSON.stringify([...agents].sort());
}
