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

/** Orders the ready tasks of a job from the agents that the placement chooses, one message an agent and step. */
export class TaskPlacer {
    constructor(
        private readonly channels: AgentChannels,
        private readonly placement: LeasedPlacement,
        private readonly log: Log,
        private readonly metrics: Metrics,
    ) {}

    /** Gives tasks that are ready to agents, job by job, as far as the placement finds any. */
    public place(jobs: readonly LeasedJob[], now: number): void {
        // A task whose caller has left may run elsewhere again, so the ends of callers are read before anything is started.
        if (this.channels.unread) {
            return;
        }
        const accepting = [...this.channels.agents]
            .filter(agent => agent.accepting && agent.ageMs(now) <= LEASE_TIMES.MAX_REPORT_AGE_MS);
        for (const job of jobs) {
            this.placeJob(job, accepting, now);
        }
    }

    private placeJob(job: LeasedJob, accepting: readonly AgentView[], now: number): void {
        const batches = new Map<string, Batch>();
        const chosen = new Set<string>();
        for (const task of job.tasks) {
            const step = job.order.steps[task.step];
            if (task.state !== TaskState.Ready || step === undefined) {
                continue;
            }
            const agent = this.placement.choose({ job, step, task, now, chosen }, accepting);
            if (agent === undefined) {
                break;
            }
            // A task that may run belongs to an earlier submission of its job, which was given up.
            if (this.channels.mayRun(task.name)) {
                continue;
            }
            chosen.add(agent.id);
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
        job.offered = true;
        const clockMs = agent.clockMs(now) ?? 0;
        agent.channel.send({
            kind: "run",
            order: agent.commit(),
            job: job.order.id,
            spec: job.order.spec,
            tasks: tasks.map(({ name, run }) => ({ name, run })),
            need: step.need,
            estimateMs: step.estimateMs,
            startBeforeMs: clockMs + LEASE_TIMES.START_WINDOW_MS,
            tenureUntilMs: agent.renewTenure(now),
        });
        this.metrics.increment("tasks.placed", tasks.length);
        this.log.write(EntryLeaseEvent.TasksPlaced, {
            job: job.order.id,
            tasks: tasks.map(({ name, run }) => `${name}/${run}`),
            agent: agent.id,
            waitedMs: Math.round(now - job.arrivedAt),
            reportAgeMs: Math.round(agent.ageMs(now)),
            slowness: Number((agent.current?.slowness ?? 1).toFixed(2)),
            freeCpu: Math.round(agent.free().cpu),
        });
    }
}
