import type { JobEntry } from "./JobEntry.js";
import type { TeamEntry } from "./TeamEntry.js";

/** Expected run times are at least 1 ms, so smaller sums of work are rounding errors. */
const LEAST_WORK_MS = 0.01;

/** Teams with their queued and running tasks, and the weight of those that have queued tasks. */
export class Teams {
    private readonly teams = new Map<string, TeamEntry>();
    private queuedWeight = 0;

    /** Sum of the weights of the teams with queued tasks. */
    public get backloggedWeight(): number {
        return this.queuedWeight;
    }

    public get(name: string): TeamEntry {
        let team = this.teams.get(name);
        if (team === undefined) {
            team = newTeam(name);
            this.teams.set(name, team);
        }
        return team;
    }

    /** Returns the team, or an empty one that is not kept. */
    public getOrEmpty(name: string): TeamEntry {
        return this.teams.get(name) ?? newTeam(name);
    }

    public all(): Iterable<TeamEntry> {
        return this.teams.values();
    }

    public setWeight(team: TeamEntry, weight: number): void {
        if (team.queued > 0) {
            this.queuedWeight += weight - team.weight;
        }
        team.weight = weight;
    }

    public addQueued(team: TeamEntry, tasks: number, workMs: number): void {
        const before = team.queued > 0;
        team.queued += tasks;
        team.queuedMs = team.queued === 0 ? 0 : Math.max(0, team.queuedMs + workMs);
        const after = team.queued > 0;
        if (before !== after) {
            this.queuedWeight += after ? team.weight : -team.weight;
        }
    }

    /** Sets the key of a job and moves its queued work to it. */
    public setKey(job: JobEntry, key: number): void {
        addWork(job.team.workByKey, Math.floor(job.key), -job.countedMs);
        job.key = key;
        job.countedMs = job.queued === 0 ? 0 : job.queuedMs;
        addWork(job.team.workByKey, Math.floor(key), job.countedMs);
    }

    /** Queued work of the team that goes before a new job with this key. */
    public workBefore(team: TeamEntry, key: number): number {
        let total = 0;
        for (const [other, workMs] of team.workByKey) {
            total += other <= key ? workMs : 0;
        }
        return total;
    }

    /** Share of the service to which the team is entitled once it has queued tasks, 0 to 1. */
    public share(team: TeamEntry): number {
        const others = team.queued > 0 ? this.queuedWeight - team.weight : this.queuedWeight;
        return team.weight / (team.weight + Math.max(0, others));
    }
}

function addWork(workByKey: Map<number, number>, key: number, workMs: number): void {
    const sum = (workByKey.get(key) ?? 0) + workMs;
    if (sum < LEAST_WORK_MS) {
        workByKey.delete(key);
    }
    else {
        workByKey.set(key, sum);
    }
}

function newTeam(name: string): TeamEntry {
    return { name, weight: 1, queued: 0, running: 0, queuedMs: 0, workByKey: new Map() };
}
