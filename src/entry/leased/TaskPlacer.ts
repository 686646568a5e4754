import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { Step } from "../../common/leased/Step.js";
import type { Log } from "../../common/log/Log.js";
import type { Metrics } from "../../common/Metrics.js";
import type { AgentChannels } from "./AgentChannels.js";
import type { AgentView } from "./AgentView.js";
import { EntryLeaseEvent } from "./EntryLeaseEvent.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedPlacement } from "./LeasedPlacement.js";
import type { LeasedTask } from "./LeasedTask.js";
import { TaskState } from "./TaskState.js";

/** Tasks of one step of one job that go to one agent. */
interface Batch {
    readonly agent: AgentView;
    readonly step: Step;
    readonly tasks: LeasedTask[];
}

/**
 * Sends the ready tasks of jobs to the agents that the placement chooses, in one message per agent and step of a job.
 */
export class TaskPlacer {
    constructor(
        private readonly channels: AgentChannels,
        private readonly placement: LeasedPlacement,
        private readonly log: Log,
        private readonly metrics: Metrics,
    ) {}

    /** Sends ready tasks to agents, job by job. It goes on to the next job at the first task without an agent. */
    public place(jobs: readonly LeasedJob[], now: number): void {
        // A job whose caller has disconnected may run again elsewhere. A late process has not read all disconnects yet,
        // so the leases that it may give are over before the tasks could start.
        if (this.channels.isLate) {
            return;
        }
        const accepting = [...this.channels.agents]
            .filter(agent => agent.accepting && agent.reportAgeMs(now) <= LEASE_TIMES.MAX_REPORT_AGE_MS);
        for (const job of jobs) {
            this.placeJob(job, accepting, now);
        }
    }

    private placeJob(job: LeasedJob, accepting: readonly AgentView[], now: number): void {
        const batches = new Map<string, Batch>();
        const chosenAgents = new Set<string>();
        for (const task of job.tasks) {
            const step = job.submission.steps[task.step];
            if (task.state !== TaskState.Ready || step === undefined) {
                continue;
            }
            const agent = this.placement.choose({ job, step, task, now, chosenAgents }, accepting);
            if (agent === undefined) {
                break;
            }
            // A run of the task from an earlier, cancelled submission of its job may still be going on.
            if (this.channels.mayBeRunning(task.name)) {
                continue;
            }
            chosenAgents.add(agent.id);
            this.assign(task, agent, step, batches, now);
        }
        for (const batch of batches.values()) {
            this.send(job, batch, now);
        }
    }

    private assign(task: LeasedTask, agent: AgentView, step: Step, batches: Map<string, Batch>, now: number): void {
        task.state = TaskState.Placed;
        task.agent = agent.id;
        task.placedAt = now;
        agent.tasks.add(task.name);
        const key = `${agent.id} ${task.step}`;
        const batch = batches.get(key) ?? { agent, step, tasks: [] };
        batch.tasks.push(task);
        batches.set(key, batch);
        agent.reserve(step.need);
    }

    private send(job: LeasedJob, { agent, step, tasks }: Batch, now: number): void {
        job.dispatched = true;
        const clockMs = agent.clockMs(now) ?? 0;
        const tenureUntilMs = this.channels.renewEntryLease(agent);
        agent.channel.send({
            kind: "run",
            order: agent.nextRunOrder(),
            job: job.submission.id,
            spec: job.submission.spec,
            tasks: tasks.map(({ name, nextRun: run }) => ({ name, run })),
            need: step.need,
            estimateMs: step.estimateMs,
            startBeforeMs: Math.min(clockMs + LEASE_TIMES.START_WINDOW_MS, tenureUntilMs),
            tenureUntilMs,
            incarnation: agent.status?.incarnation,
        });
        this.metrics.increment("tasks.placed", tasks.length);
        this.log.write(EntryLeaseEvent.TasksPlaced, {
            job: job.submission.id,
            tasks: tasks.map(({ name, nextRun: run }) => `${name}/${run}`),
            agent: agent.id,
            waitedMs: Math.round(now - job.arrivedAt),
            reportAgeMs: Math.round(agent.reportAgeMs(now)),
            slowness: Number((agent.status?.slowness ?? 1).toFixed(2)),
            freeCpu: Math.round(agent.free().cpu),
        });
    }
}
