import { Commitments } from "./Commitments.js";
import { FairChoice } from "./FairChoice.js";
import type { FairShare } from "./FairShare.js";
import { IndexedHeap } from "./IndexedHeap.js";
import type { JobEntry } from "./JobEntry.js";
import { newTaskEntry } from "./newTaskEntry.js";
import type { Order } from "./Order.js";
import type { QueuedTask } from "./QueuedTask.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { SizeClass } from "./SizeClass.js";
import type { Sizes } from "./Sizes.js";
import type { TaskEntry } from "./TaskEntry.js";
import type { TaskGroup } from "./TaskGroup.js";
import { TaskGroups } from "./TaskGroups.js";
import { TaskPhase } from "./TaskPhase.js";
import type { TeamEntry } from "./TeamEntry.js";
import { Teams } from "./Teams.js";

const SIZE_CLASSES: readonly SizeClass[] = [2, 1, 0];

const MIN_WEIGHT = 0.01;
/** Before every key of an order. */
const URGENT_KEY = -1e9;
const MS_PER_KEY = 1000;

/** Open jobs, and their queued tasks in the order in which they are to start. */
export class Backlog {
    public readonly teams = new Teams();
    private readonly jobs = new Map<string, JobEntry>();
    private readonly groups = new TaskGroups();
    private readonly choice: FairChoice;
    private readonly commitments = new Commitments();
    private readonly deadlines = new IndexedHeap<JobEntry>();
    private readonly waiting = new IndexedHeap<TaskEntry>();
    private queuedTasks = 0;
    private queuedWorkMs = 0;
    private slots = 1;

    constructor(
        private readonly order: Order,
        private readonly fairShare: FairShare,
        private readonly sizes: Sizes,
    ) {
        this.choice = new FairChoice(this.groups, fairShare);
    }

    /** Queued tasks, with those that wait for a retry. */
    public get queued(): number {
        return this.queuedTasks;
    }

    public get queuedMs(): number {
        return this.queuedWorkMs;
    }

    public get nextRetryAt(): number {
        return this.waiting.peekKey();
    }

    public get nextDeadlineAt(): number {
        return this.deadlines.peekKey();
    }

    public has(job: string): boolean {
        return this.jobs.has(job);
    }

    public find(job: string, task: number): TaskEntry | undefined {
        return this.jobs.get(job)?.tasks.get(task);
    }

    public add(scheduled: ScheduledJob, now: number): void {
        const job: JobEntry = {
            id: scheduled.job,
            team: this.teams.get(scheduled.team),
            group: this.groups.enter(scheduled.agents),
            enqueuedAt: now,
            deadlineAt: scheduled.deadlineAt,
            tasks: new Map(),
            lanes: SIZE_CLASSES.map(() => []),
            queued: 0,
            queuedMs: 0,
            key: 0,
            urgent: false,
            rankedMs: 0,
            withdrawn: false,
        };
        this.jobs.set(job.id, job);
        const entries = scheduled.tasks.map(task => newTaskEntry(job, task, this.sizes));
        entries.sort((a, b) => a.expectedMs - b.expectedMs);
        for (const entry of entries) {
            job.tasks.set(entry.task.task, entry);
            job.lanes[entry.sizeClass]?.push(entry);
            this.count(entry, 1);
            this.watchDeadline(entry);
        }
        this.rank(job);
        this.closeIfDone(job);
    }

    /** Puts a running task back, to be queued at the given time. */
    public requeue(entry: TaskEntry, at: number): void {
        entry.phase = TaskPhase.Waiting;
        this.waiting.set(entry, at);
        this.count(entry, 1);
        this.watchDeadline(entry);
    }

    /** Queues the tasks whose back-off has ended. */
    public release(now: number): void {
        for (let entry = this.waiting.popUpTo(now); entry !== undefined; entry = this.waiting.popUpTo(now)) {
            entry.phase = TaskPhase.Queued;
            entry.expectedMs = Math.max(1, entry.expectedMs);
            entry.job.lanes[entry.sizeClass]?.push(entry);
            this.rank(entry.job);
        }
        for (let job = this.commitments.takeDue(now); job !== undefined; job = this.commitments.takeDue(now)) {
            job.urgent = true;
            this.rank(job);
        }
    }

    /** Sets the number of slots of the agents that accept work. */
    public setSlots(slots: number): void {
        this.slots = slots;
    }

    /** Time by which a new job with the key may delay the team's other jobs; Infinity when it delays none. */
    public slackMs(team: TeamEntry, key: number, now: number): number {
        const first = this.commitments.first(team);
        if (first === undefined || key >= first.job.key) {
            return Infinity;
        }
        const beforeMs = this.teams.workBefore(team, first.job.key) - first.job.queuedMs;
        return first.latestStart - now - Math.max(0, beforeMs) / this.paceOf(team);
    }

    /** Returns the next task among groups and classes that may start. */
    public next(
        usable: (group: TaskGroup) => boolean,
        allowed: (sizeClass: SizeClass) => boolean,
        slots: number,
    ): TaskEntry | undefined {
        const tagPerMs = slots / Math.max(MIN_WEIGHT, this.teams.backloggedWeight);
        return this.choice.next(usable, SIZE_CLASSES.filter(allowed), tagPerMs);
    }

    /** Returns the queued task of the same job with the smallest expected time. */
    public shortest(entry: TaskEntry): TaskEntry {
        return entry.job.lanes.find(lane => lane.length > 0)?.[0] ?? entry;
    }

    /** Takes a queued or waiting task out of the queue, into the given phase. */
    public take(entry: TaskEntry, phase: TaskPhase): void {
        if (!this.waiting.delete(entry)) {
            const lane = entry.job.lanes[entry.sizeClass] ?? [];
            lane.splice(lane.lastIndexOf(entry), 1);
        }
        entry.phase = phase;
        this.count(entry, -1);
        this.rank(entry.job);
        if (entry.job.queued === 0) {
            this.deadlines.delete(entry.job);
        }
        if (phase === TaskPhase.Ended) {
            this.end(entry);
        }
    }

    /** Forgets a task that has ended, and its job with the last one. */
    public end(entry: TaskEntry): void {
        entry.phase = TaskPhase.Ended;
        entry.job.tasks.delete(entry.task.task);
        this.closeIfDone(entry.job);
    }

    /** Withdraws queued tasks of a job and marks running ones, so that they are not queued again. */
    public withdraw(id: string, task: number | undefined): number[] {
        const job = this.jobs.get(id);
        if (job === undefined) {
            return [];
        }
        job.withdrawn ||= task === undefined;
        const chosen = task === undefined ? [...job.tasks.values()] : [job.tasks.get(task)];
        return this.drop(chosen.filter(entry => entry !== undefined));
    }

    public expire(now: number): QueuedTask[] {
        const expired: QueuedTask[] = [];
        for (let job = this.deadlines.popUpTo(now); job !== undefined; job = this.deadlines.popUpTo(now)) {
            const late = [...job.tasks.values()].filter(entry => isQueued(entry) && entry.task.deadlineAt <= now);
            expired.push(...late.map(entry => entry.task));
            this.drop(late);
            [...job.tasks.values()].filter(isQueued).forEach(entry => this.watchDeadline(entry));
        }
        return expired;
    }

    public charge(entry: TaskEntry, costMs: number): void {
        const { name, weight } = entry.job.team;
        this.fairShare.charge(name, costMs, weight);
        const tag = this.fairShare.tag(name);
        for (const group of this.groups.all()) {
            group.lanes.forEach(lane => lane.setTag(name, tag));
        }
    }

    private drop(entries: readonly TaskEntry[]): number[] {
        const queued = entries.filter(isQueued);
        entries.filter(entry => !isQueued(entry)).forEach(entry => {
            entry.withdrawn = true;
        });
        // Lanes are filtered as a whole, because single removals would cost the square of the tasks of the job.
        const removed = new Set(queued);
        const job = entries[0]?.job;
        job?.lanes.forEach(lane => lane.splice(0, lane.length, ...lane.filter(entry => !removed.has(entry))));
        for (const entry of queued) {
            this.waiting.delete(entry);
            entry.phase = TaskPhase.Ended;
            this.count(entry, -1);
            entry.job.tasks.delete(entry.task.task);
        }
        if (job !== undefined) {
            this.rank(job);
            this.closeIfDone(job);
        }
        return queued.map(entry => entry.task.task);
    }

    private count(entry: TaskEntry, sign: 1 | -1): void {
        const workMs = sign * entry.expectedMs;
        entry.job.queued += sign;
        entry.job.queuedMs += workMs;
        this.queuedTasks += sign;
        this.queuedWorkMs = this.queuedTasks === 0 ? 0 : Math.max(0, this.queuedWorkMs + workMs);
        this.teams.addQueued(entry.job.team, sign, workMs);
    }

    private rank(job: JobEntry): void {
        this.commit(job);
        const key = this.order.key(job.queuedMs, job.enqueuedAt);
        this.teams.rank(job, job.urgent ? URGENT_KEY + job.deadlineAt / MS_PER_KEY : key);
        const tag = this.fairShare.tag(job.team.name);
        for (const sizeClass of SIZE_CLASSES) {
            const lane = job.group.lanes[sizeClass];
            if ((job.lanes[sizeClass]?.length ?? 0) > 0) {
                lane?.setJob(job, tag);
            }
            else {
                lane?.deleteJob(job);
            }
        }
    }

    private commit(job: JobEntry): void {
        if (job.queued === 0) {
            this.commitments.forget(job);
            return;
        }
        this.commitments.watch(job, this.paceOf(job.team));
    }

    /** Work per millisecond that the team is due. */
    private paceOf(team: TeamEntry): number {
        return Math.max(1, this.slots) * this.teams.share(team);
    }

    private watchDeadline(entry: TaskEntry): void {
        const known = this.deadlines.keyOf(entry.job) ?? Infinity;
        if (entry.task.deadlineAt < known) {
            this.deadlines.set(entry.job, entry.task.deadlineAt);
        }
    }

    private closeIfDone(job: JobEntry): void {
        if (job.queued === 0) {
            this.deadlines.delete(job);
        }
        if (job.tasks.size === 0 && this.jobs.delete(job.id)) {
            this.groups.leave(job.group);
        }
    }
}

function isQueued(entry: TaskEntry): boolean {
    return entry.phase === TaskPhase.Queued || entry.phase === TaskPhase.Waiting;
}
