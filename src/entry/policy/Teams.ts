import type { TeamEntry } from "./TeamEntry.js";

/** Teams with their queued and running tasks, and the weight of those that have queued tasks. */
export class Teams {
    private readonly teams = new Map<string, TeamEntry>();
    private backlogWeight = 0;

    public get(name: string): TeamEntry {
        let team = this.teams.get(name);
        if (team === undefined) {
            team = newTeam(name);
            this.teams.set(name, team);
        }
        return team;
    }

    /** Returns the team, or an empty one that is not kept. */
    public peek(name: string): TeamEntry {
        return this.teams.get(name) ?? newTeam(name);
    }

    public all(): Iterable<TeamEntry> {
        return this.teams.values();
    }

    public setWeight(team: TeamEntry, weight: number): void {
        if (team.queued > 0) {
            this.backlogWeight += weight - team.weight;
        }
        team.weight = weight;
    }

    public addQueued(team: TeamEntry, tasks: number, workMs: number): void {
        const before = team.queued > 0;
        team.queued += tasks;
        team.queuedMs = team.queued === 0 ? 0 : Math.max(0, team.queuedMs + workMs);
        const after = team.queued > 0;
        if (before !== after) {
            this.backlogWeight += after ? team.weight : -team.weight;
        }
    }

    /** Share of service due to the team once it has queued tasks, 0 to 1. */
    public share(team: TeamEntry): number {
        const others = team.queued > 0 ? this.backlogWeight - team.weight : this.backlogWeight;
        return team.weight / (team.weight + Math.max(0, others));
    }
}

function newTeam(name: string): TeamEntry {
    return { name, weight: 1, queued: 0, running: 0, queuedMs: 0 };
}
