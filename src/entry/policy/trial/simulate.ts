import { Verdict } from "../../../common/Verdict.js";
import type { Assignment } from "../Assignment.js";
import { IndexedHeap } from "../IndexedHeap.js";
import type { QueuedTask } from "../QueuedTask.js";
import type { Scheduler } from "../Scheduler.js";
import type { TrialCluster } from "./TrialCluster.js";
import type { TrialJob } from "./TrialJob.js";
import type { TrialResult } from "./TrialResult.js";

/** One-way delay of a message between entry and agent. */
const ONE_WAY_MS = 1;
const RACK_SIZE = 3;
const FAILURE_DOMAINS = 3;

interface Progress {
    readonly job: TrialJob;
    left: number;
    failed: boolean;
    refused: boolean;
    endedAt: number | undefined;
    readonly executions: TrialResult["jobs"][number]["executions"][number][];
}

/** Runs the jobs through the scheduler, which must be configured already, in virtual time. */
export function simulate(scheduler: Scheduler, cluster: TrialCluster, jobs: readonly TrialJob[]): TrialResult {
    return new Simulation(scheduler, cluster, jobs).run();
}

class Simulation {
    private readonly events = new IndexedHeap<() => void>();
    private readonly progress = new Map<string, Progress>();
    private readonly waits: TrialResult["waits"][number][] = [];
    private readonly service: TrialResult["service"][number][] = [];
    private readonly agents: ReadonlySet<string>;
    private now = 0;
    private starts = 0;
    private schedulerMs = 0;
    private maxQueued = 0;

    constructor(
        private readonly scheduler: Scheduler,
        private readonly cluster: TrialCluster,
        private readonly jobs: readonly TrialJob[],
    ) {
        this.agents = new Set(cluster.ratios.map((_ratio, index) => String(index)));
    }

    public run(): TrialResult {
        this.addAgents();
        this.jobs.forEach(job => this.events.set(() => this.arrive(job), job.at));
        for (let event = this.events.peek(); event !== undefined; event = this.events.peek()) {
            this.now = this.events.peekKey();
            this.events.delete(event);
            event();
            this.place();
        }
        return {
            jobs: [...this.progress.values()].map(resultOf),
            waits: this.waits,
            service: this.service,
            starts: this.starts,
            virtualMs: this.now,
            schedulerMs: this.schedulerMs,
            maxQueued: this.maxQueued,
        };
    }

    private addAgents(): void {
        for (const id of this.agents) {
            const rack = Math.floor(Number(id) / RACK_SIZE);
            const failureDomain = `d${rack % FAILURE_DOMAINS}`;
            const profile = { id, worker: id, rack: `r${rack}`, failureDomain, slots: this.cluster.slots };
            this.scheduler.addAgent(profile, 0);
            this.scheduler.addCredits(id, this.cluster.slots, 0);
        }
    }

    private arrive(job: TrialJob): void {
        const deadlineAt = job.at + job.deadlineMs;
        const tasks = job.tasks.map((task, index): QueuedTask => ({
            job: job.id,
            task: index,
            attempt: 1,
            team: job.team,
            declaredMs: task.declaredMs,
            repeatable: false,
            enqueuedAt: job.at,
            deadlineAt,
        }));
        const scheduled = { job: job.id, team: job.team, deadlineAt, agents: this.agents, tasks };
        const refusal = this.timed(() => this.scheduler.admit(scheduled, this.now));
        const refused = refusal !== undefined;
        this.progress.set(job.id, {
            job,
            left: tasks.length,
            failed: refused,
            refused,
            endedAt: undefined,
            executions: [],
        });
        this.maxQueued = Math.max(this.maxQueued, this.scheduler.queued);
        if (!refused) {
            this.events.set(() => this.expire(), deadlineAt);
        }
    }

    private expire(): void {
        const jobs = new Set(this.timed(() => this.scheduler.expire(this.now)).map(task => task.job));
        for (const id of jobs) {
            const progress = this.progress.get(id);
            if (progress !== undefined) {
                progress.failed = true;
                this.timed(() => this.scheduler.withdraw(id, undefined, this.now));
            }
        }
    }

    private place(): void {
        for (let next = this.assign(); next !== undefined; next = this.assign()) {
            this.start(next);
        }
    }

    private assign(): Assignment | undefined {
        return this.timed(() => this.scheduler.assign(this.now));
    }

    private start(assignment: Assignment): void {
        const { task, agent } = assignment;
        const job = this.progress.get(task.job)?.job;
        const runMs = job?.tasks[task.task]?.runMs ?? 0;
        const usedMs = runMs * (this.cluster.ratios[Number(agent)] ?? 1);
        this.starts += 1;
        this.waits.push({ runMs, jobTasks: job?.tasks.length ?? 0, waitMs: this.now - task.enqueuedAt });
        this.events.set(() => this.end(assignment, usedMs), this.now + usedMs + 2 * ONE_WAY_MS);
    }

    private end({ task, agent }: Assignment, runMs: number): void {
        const { job, attempt } = task;
        const report = { job, task: task.task, attempt, agent, verdict: Verdict.Ran, ok: true, runMs };
        this.timed(() => {
            this.scheduler.report({ ...report, countsForHealth: true }, this.now);
            this.scheduler.addCredits(agent, 1, this.now);
        });
        this.service.push({ team: task.team, at: this.now, usedMs: runMs });
        const progress = this.progress.get(job);
        if (progress !== undefined) {
            progress.executions.push({ task: task.task, startedAt: this.now - runMs - ONE_WAY_MS, runMs });
            progress.left -= 1;
            progress.endedAt = progress.left === 0 ? this.now : undefined;
        }
    }

    private timed<T>(call: () => T): T {
        const before = performance.now();
        const result = call();
        this.schedulerMs += performance.now() - before;
        return result;
    }
}

function resultOf({ job, failed, refused, endedAt, executions }: Progress): TrialResult["jobs"][number] {
    const late = endedAt === undefined || endedAt > job.at + job.deadlineMs;
    const responseMs = failed || late ? undefined : endedAt - job.at;
    const workMs = job.tasks.reduce((sum, task) => sum + task.runMs, 0);
    return { id: job.id, team: job.team, at: job.at, responseMs, refused, workMs, tasks: job.tasks.length, executions };
}
