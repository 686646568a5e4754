import type { FairShare } from "./FairShare.js";
import { FairTaskSelector } from "./FairTaskSelector.js";
import { IndexedHeap } from "./IndexedHeap.js";
import type { JobEntry } from "./JobEntry.js";
import { LatestStarts } from "./LatestStarts.js";
import { newTaskEntry } from "./newTaskEntry.js";
import type { QueuedTask } from "./QueuedTask.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { SizeClass } from "./SizeClass.js";
import type { SizeEstimates } from "./SizeEstimates.js";
import type { TaskEntry } from "./TaskEntry.js";
import type { TaskGroup } from "./TaskGroup.js";
import { TaskGroups } from "./TaskGroups.js";
import { TaskPhase } from "./TaskPhase.js";
import type { TeamEntry } from "./TeamEntry.js";
import type { TeamJobOrdering } from "./TeamJobOrdering.js";
import { Teams } from "./Teams.js";

const SIZE_CLASSES: readonly SizeClass[] = [2, 1, 0];

const MIN_WEIGHT = 0.01;
/** Smaller than every key that a `TeamJobOrdering` returns, so that urgent jobs sort first. */
const URGENT_KEY = -1e9;
const MS_PER_KEY = 1000;

/** Open jobs, with their queued tasks in the order in which they are to be started. */
export class Backlog {
    public readonly teams = new Teams();
    private readonly jobs = new Map<string, JobEntry>();
    private readonly groups = new TaskGroups();
    private readonly selector: FairTaskSelector;
    private readonly latestStarts = new LatestStarts();
    private readonly deadlines = new IndexedHeap<JobEntry>();
    private readonly retries = new IndexedHeap<TaskEntry>();
    private queuedTasks = 0;
    private queuedWorkMs = 0;
    private slots = 1;

    constructor(
        private readonly ordering: TeamJobOrdering,
        private readonly fairShare: FairShare,
        private readonly sizeEstimates: SizeEstimates,
    ) {
        this.selector = new FairTaskSelector(this.groups, fairShare);
    }

    /** Number of queued tasks, including those that wait for a retry. */
    public get queued(): number {
        return this.queuedTasks;
    }

    public get queuedMs(): number {
        return this.queuedWorkMs;
    }

    public get nextRetryAt(): number {
        return this.retries.peekKey();
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
            group: this.groups.join(scheduled.agents),
            enqueuedAt: now,
            deadlineAt: scheduled.deadlineAt,
            tasks: new Map(),
            lanes: SIZE_CLASSES.map(() => []),
            queued: 0,
            queuedMs: 0,
            key: 0,
            urgent: false,
            countedMs: 0,
            withdrawn: false,
        };
        this.jobs.set(job.id, job);
        const entries = scheduled.tasks.map(task => newTaskEntry(job, task, this.sizeEstimates));
        entries.sort((a, b) => a.expectedMs - b.expectedMs);
        for (const entry of entries) {
            job.tasks.set(entry.task.task, entry);
            job.lanes[entry.sizeClass]?.push(entry);
            this.count(entry, 1);
            this.watchDeadline(entry);
        }
        this.updateRank(job);
        this.removeIfEnded(job);
    }

    /** Takes a task back whose attempt has ended; it is queued again at the time `at`. */
    public requeue(entry: TaskEntry, at: number): void {
        entry.phase = TaskPhase.Waiting;
        this.retries.set(entry, at);
        this.count(entry, 1);
        this.watchDeadline(entry);
    }

    /** Queues the tasks whose retry back-off has ended, and makes the jobs urgent whose latest start has come. */
    public processDue(now: number): void {
        for (let entry = this.retries.popUpTo(now); entry !== undefined; entry = this.retries.popUpTo(now)) {
            entry.phase = TaskPhase.Queued;
            entry.expectedMs = Math.max(1, entry.expectedMs);
            entry.job.lanes[entry.sizeClass]?.push(entry);
            this.updateRank(entry.job);
        }
        for (let job = this.latestStarts.popDue(now); job !== undefined; job = this.latestStarts.popDue(now)) {
            job.urgent = true;
            this.updateRank(job);
        }
    }

    /** Sets the number of slots from which each team's service rate is derived. */
    public setSlots(slots: number): void {
        this.slots = slots;
    }

    /**
     * Time by which a new job with this key may delay the job of its team that must start first, without making it
     * late; Infinity when the new job sorts behind that one.
     */
    public slackMs(team: TeamEntry, key: number, now: number): number {
        const first = this.latestStarts.first(team);
        if (first === undefined || key >= first.job.key) {
            return Infinity;
        }
        const beforeMs = this.teams.workBefore(team, first.job.key) - first.job.queuedMs;
        return first.latestStart - now - Math.max(0, beforeMs) / this.rateOf(team);
    }

    /** Returns the task to start next, of the groups and size classes that may start one. */
    public next(
        mayStart: (group: TaskGroup) => boolean,
        classAllowed: (sizeClass: SizeClass) => boolean,
        slots: number,
    ): TaskEntry | undefined {
        const tagPerMs = slots / Math.max(MIN_WEIGHT, this.teams.backloggedWeight);
        return this.selector.next(mayStart, SIZE_CLASSES.filter(classAllowed), tagPerMs);
    }

    /** Returns the queued task of the same job with the smallest expected run time. */
    public shortest(entry: TaskEntry): TaskEntry {
        return entry.job.lanes.find(lane => lane.length > 0)?.[0] ?? entry;
    }

    /** Takes a task in phase queued or waiting out of the queue and sets its phase. */
    public dequeue(entry: TaskEntry, phase: TaskPhase): void {
        if (!this.retries.delete(entry)) {
            const lane = entry.job.lanes[entry.sizeClass] ?? [];
            lane.splice(lane.lastIndexOf(entry), 1);
        }
        entry.phase = phase;
        this.count(entry, -1);
        this.updateRank(entry.job);
        if (entry.job.queued === 0) {
            this.deadlines.delete(entry.job);
        }
        if (phase === TaskPhase.Ended) {
            this.end(entry);
        }
    }

    /** Removes a task that has ended, and its job after the last one. */
    public end(entry: TaskEntry): void {
        entry.phase = TaskPhase.Ended;
        entry.job.tasks.delete(entry.task.task);
        this.removeIfEnded(entry.job);
    }

    /**
     * Removes queued tasks of a job and marks running ones, so that they are not queued again; returns the removed
     * indexes.
     */
    public withdraw(id: string, task: number | undefined): number[] {
        const job = this.jobs.get(id);
        if (job === undefined) {
            return [];
        }
        job.withdrawn ||= task === undefined;
        const chosen = task === undefined ? [...job.tasks.values()] : [job.tasks.get(task)];
        return this.removeOrMark(chosen.filter(entry => entry !== undefined));
    }

    public expire(now: number): QueuedTask[] {
        const expired: QueuedTask[] = [];
        for (let job = this.deadlines.popUpTo(now); job !== undefined; job = this.deadlines.popUpTo(now)) {
            const late = [...job.tasks.values()].filter(entry => isQueued(entry) && entry.task.deadlineAt <= now);
            expired.push(...late.map(entry => entry.task));
            this.removeOrMark(late);
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

    private removeOrMark(entries: readonly TaskEntry[]): number[] {
        const queued = entries.filter(isQueued);
        entries.filter(entry => !isQueued(entry)).forEach(entry => {
            entry.withdrawn = true;
        });
        // Each lane is filtered once, because removing the tasks one by one takes quadratic time.
        const removed = new Set(queued);
        const job = entries[0]?.job;
        job?.lanes.forEach(lane => lane.splice(0, lane.length, ...lane.filter(entry => !removed.has(entry))));
        for (const entry of queued) {
            this.retries.delete(entry);
            entry.phase = TaskPhase.Ended;
            this.count(entry, -1);
            entry.job.tasks.delete(entry.task.task);
        }
        if (job !== undefined) {
            this.updateRank(job);
            this.removeIfEnded(job);
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

    private updateRank(job: JobEntry): void {
        this.updateLatestStart(job);
        const key = this.ordering.key(job.queuedMs, job.enqueuedAt);
        this.teams.setKey(job, job.urgent ? URGENT_KEY + job.deadlineAt / MS_PER_KEY : key);
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

    private updateLatestStart(job: JobEntry): void {
        if (job.queued === 0) {
            this.latestStarts.delete(job);
            return;
        }
        this.latestStarts.set(job, this.rateOf(job.team));
    }

    /** Work per millisecond to which the team's share entitles it. */
    private rateOf(team: TeamEntry): number {
        return Math.max(1, this.slots) * this.teams.share(team);
    }

    private watchDeadline(entry: TaskEntry): void {
        const known = this.deadlines.keyOf(entry.job) ?? Infinity;
        if (entry.task.deadlineAt < known) {
            this.deadlines.set(entry.job, entry.task.deadlineAt);
        }
    }

    private removeIfEnded(job: JobEntry): void {
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
