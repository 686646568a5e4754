import { createHash } from "node:crypto";
import { FailurePolicy } from "../../common/job/FailurePolicy.js";
import type { JobAnswer } from "../../common/job/JobAnswer.js";
import type { JobRequest } from "../../common/job/JobRequest.js";
import { JobState } from "../../common/job/JobState.js";
import type { TaskRequest } from "../../common/job/TaskRequest.js";
import type { Ticket } from "../../common/ticket/Ticket.js";
import { Verdict } from "../../common/Verdict.js";
import { buildAnswer } from "./buildAnswer.js";
import type { TaskResult } from "./TaskResult.js";
import { ticketKey } from "./ticketKey.js";

/** 16 bytes keep `start` messages short; too few submissions share a ticket for an accidental collision. */
const DIGEST_BYTES = 16;

/**
 * Attempt that was started and has no result yet. `known` is false after the agent's connection was lost, until the
 * agent reports that the attempt is still running.
 */
interface OpenAttempt {
    readonly task: number;
    readonly attempt: number;
    readonly agent: string;
    known: boolean;
}

/** Job submitted under a ticket: the results and open attempts of its tasks, and its final answer. */
export class Job {
    public readonly key: string;
    /** Digest of the submission, as `Job.digest` returns it. */
    public readonly digest: string;
    public readonly stopOnFailure: boolean;
    /** Resolves once, with the final answer. */
    public readonly done: Promise<JobAnswer>;
    /** Set once no further task of the job may start. */
    public stopReason: JobAnswer["reason"];
    private readonly results = new Map<number, TaskResult>();
    private readonly attempts = new Map<number, OpenAttempt>();
    /** Failures of earlier attempts that ran or may have run, by task. */
    private readonly failures = new Map<number, TaskResult>();
    private readonly taskCount: number;
    private tasks: readonly TaskRequest[];
    private resolveDone: (answer: JobAnswer) => void = () => undefined;
    private finalAnswer: JobAnswer | undefined;

    constructor(
        public readonly ticket: Ticket,
        private readonly ticketText: string,
        request: JobRequest,
        public readonly deadlineAt: number,
    ) {
        this.key = ticketKey(ticket);
        this.digest = Job.digest(request);
        this.stopOnFailure = request.onFailure === FailurePolicy.Stop;
        this.tasks = request.tasks;
        this.taskCount = request.tasks.length;
        this.done = new Promise(resolve => {
            this.resolveDone = resolve;
        });
    }

    /** Digest of what must be equal for two submissions to be the same job; the deadline may differ. */
    public static digest(request: JobRequest): string {
        const body = JSON.stringify([request.service, request.onFailure, request.tasks]);
        return createHash("sha256").update(body).digest().subarray(0, DIGEST_BYTES).toString("base64url");
    }

    /** Final answer, or the running state. */
    public get answer(): JobAnswer {
        return this.finalAnswer ?? {
            ticket: this.ticketText,
            state: JobState.Running,
            verdict: Verdict.MayHaveRun,
            progress: { ended: this.results.size, tasks: this.taskCount },
            tasks: [],
        };
    }

    public get finished(): boolean {
        return this.finalAnswer !== undefined;
    }

    public get openAttempts(): readonly OpenAttempt[] {
        return [...this.attempts.values()];
    }

    public taskAt(index: number): TaskRequest | undefined {
        return this.tasks[index];
    }

    /** True while the task waits in the queue. */
    public isQueued(index: number): boolean {
        return this.tasks[index] !== undefined && !this.results.has(index) && !this.attempts.has(index);
    }

    public begin(task: number, attempt: number, agent: string): void {
        this.attempts.set(task, { task, attempt, agent, known: true });
    }

    public openAttempt(task: number): OpenAttempt | undefined {
        return this.attempts.get(task);
    }

    /** Closes the open attempt of a task. Keeps its failure if the attempt ran or may have run. */
    public closeAttempt(task: number, result: TaskResult): void {
        this.attempts.delete(task);
        if (!result.ok && result.verdict !== Verdict.NotRun) {
            this.failures.set(task, result);
        }
    }

    /**
     * Records the first result of a task; returns true when this was the last task and the answer is now final. A task
     * whose last attempt was not run gets the failure of an earlier attempt that ran or may have run.
     */
    public setResult(task: number, result: TaskResult): boolean {
        this.attempts.delete(task);
        if (this.finished || this.results.has(task)) {
            return false;
        }
        const earlier = result.verdict === Verdict.NotRun ? this.failures.get(task) : undefined;
        this.results.set(task, earlier ?? result);
        if (this.results.size < this.taskCount) {
            return false;
        }
        this.finish();
        return true;
    }

    private finish(): void {
        const results = [...this.results].sort(([a], [b]) => a - b);
        const failed = results.some(([, result]) => !result.ok);
        const answer = buildAnswer(this.ticketText, results, failed ? this.stopReason : undefined);
        this.finalAnswer = answer;
        this.tasks = [];
        this.results.clear();
        this.failures.clear();
        this.resolveDone(answer);
    }
}
