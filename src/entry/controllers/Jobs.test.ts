import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Emitter } from "../../common/Emitter.js";
import type { JobAnswer } from "../../common/job/JobAnswer.js";
import type { JobRequest } from "../../common/job/JobRequest.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import { SeededRandom } from "../../common/SeededRandom.js";
import type { Ticket } from "../../common/ticket/Ticket.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import type { Message } from "../../common/wire/Message.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import { EntryIdentity } from "../EntryIdentity.js";
import { FairScheduler } from "../policy/FairScheduler.js";
import { FifoScheduler } from "../policy/FifoScheduler.js";
import type { Scheduler } from "../policy/Scheduler.js";
import type { AgentChannelEvent } from "./AgentChannelEvent.js";
import type { Job } from "./Job.js";
import { JobHistories } from "./JobHistories.js";
import { Jobs } from "./Jobs.js";
import { TicketLedger } from "./TicketLedger.js";

const SERVICE = "s";
const AGENTS = ["agent0", "agent1"] as const;
const DEADLINE_MS = 1000;
const LIMITS = {
    shards: 1,
    maxTasksPerJob: 10,
    maxPayloadBytes: 100,
    maxDeadlineMs: 5000,
    maxTaskMs: 1000,
    maxQueuedTasks: 20,
    reservedShare: 0,
};
const TEAM = { team: "t", weight: 1, quota: { maxTasks: 100 }, services: { [SERVICE]: LIMITS } };

/** Jobs with two fake agents, each with two slots, on a virtual clock. */
class JobsFixture {
    public readonly clock = new VirtualClock();
    public readonly jobs: Jobs;
    public readonly sent: { readonly agent: string; readonly message: Message; }[] = [];
    public readonly attached = new Set<string>();
    private readonly events = new Emitter<AgentChannelEvent>();
    private readonly lost = new Set<string>();
    private readonly identity = new EntryIdentity({ id: "e", region: "r", failureDomain: "f", address: "127.0.0.1:1" });
    private readonly ledger = new TicketLedger(this.clock);

    constructor(scheduler: () => Scheduler = () => new FifoScheduler()) {
        this.jobs = new Jobs({
            clock: this.clock,
            identity: this.identity,
            configuration: {
                revision: 1,
                onChange: new Emitter<number>().event,
                service: name => name === SERVICE ? LIMITS : undefined,
                team: name => name === "t" ? TEAM : undefined,
                services: () => [SERVICE],
                teams: () => [TEAM],
            },
            agents: {
                onEvent: this.events.event,
                mayRun: agent => !this.lost.has(agent),
                send: (agent, message) => {
                    const open = this.attached.has(agent);
                    if (open) {
                        this.sent.push({ agent, message });
                    }
                    return open;
                },
            },
            tickets: this.ledger,
            histories: new JobHistories("e", new SilentLog()),
            collectRecords: () => Promise.resolve({ complete: false, digest: undefined, outcomes: new Map() }),
            createScheduler: scheduler,
        });
        for (const agent of AGENTS) {
            this.attach(agent);
        }
    }

    public get starts(): readonly { readonly agent: string; readonly message: MessageOf<"start">; }[] {
        return this.sent.filter((item): item is { agent: string; message: MessageOf<"start">; } => {
            return item.message.kind === "start";
        });
    }

    public ticket(): Ticket {
        const { incarnation, address } = this.identity.current;
        const agents = AGENTS.map(agent => ({ address, incarnation: agent }));
        return { issuer: incarnation, address, sequence: this.ledger.issue(1), service: SERVICE, team: "t", agents };
    }

    public submit(ticket: Ticket, taskCount: number, more: Partial<JobRequest> = {}): Job {
        return this.jobs.submit(ticket, request(taskCount, more)).unsafeCoerce();
    }

    public attach(agent: string): void {
        if (this.lost.has(agent) || this.attached.has(agent)) {
            return;
        }
        this.attached.add(agent);
        const profile = { id: agent, worker: agent, rack: "k", failureDomain: "f", slots: 2 };
        this.events.fire({ kind: "attached", service: SERVICE, agent, profile });
        this.events.fire({ kind: "credit", service: SERVICE, agent, count: 2 });
    }

    public detach(agent: string): void {
        if (this.attached.delete(agent)) {
            this.events.fire({ kind: "detached", service: SERVICE, agent });
        }
    }

    public lose(agent: string): void {
        this.detach(agent);
        this.lost.add(agent);
        this.events.fire({ kind: "lost", service: SERVICE, agent });
    }

    public end(index: number, result: "ok" | "failed" | "not_run"): void {
        const item = this.starts[index];
        if (item === undefined || !this.attached.has(item.agent)) {
            return;
        }
        const { issuer, sequence, task, attempt } = item.message;
        const verdict = result === "not_run" ? "not_run" : "ran";
        const outcome = { task, attempt, verdict, ok: result === "ok", output: `out${task}`, runMs: 1 } as const;
        const report = { kind: "outcome", issuer, sequence, outcome, credit: true } as const;
        this.events.fire({ kind: "outcome", service: SERVICE, agent: item.agent, report });
    }
}

function request(taskCount: number, more: Partial<JobRequest> = {}): JobRequest {
    const tasks = Array.from({ length: taskCount }, (_, index) => ({ payload: index, repeatable: false }));
    return { ticket: "x", service: SERVICE, team: "t", deadlineMs: DEADLINE_MS, onFailure: "stop", tasks, ...more };
}

describe("Jobs", () => {
    describe("submission", () => {
        it("guards against a refused submission that uses up its ticket", () => {
            const fixture = new JobsFixture();
            const ticket = fixture.ticket();
            const fault = fixture.jobs.submit(ticket, request(11)).swap().unsafeCoerce();
            assert.deepEqual([fault.code, fault.verdict, fault.path], ["never_runnable", "not_run", "tasks"]);
            assert.equal(fixture.submit(ticket, 1).finished, false);
        });

        it("guards against limits that are not enforced", () => {
            const fixture = new JobsFixture();
            const codes = [
                request(1, { deadlineMs: 6000 }),
                request(1, { tasks: [{ payload: "a".repeat(200), repeatable: false }] }),
                request(1, { tasks: [{ payload: 1, sizeMs: 2000, repeatable: false }] }),
            ].map(body => fixture.jobs.submit(fixture.ticket(), body).swap().unsafeCoerce().code);
            assert.deepEqual(codes, ["never_runnable", "too_large", "never_runnable"]);
        });

        it("guards against starting a job again after its answer was dropped", () => {
            const fixture = new JobsFixture();
            const ticket = fixture.ticket();
            fixture.submit(ticket, 1);
            fixture.end(0, "ok");
            fixture.clock.advance(600_000);
            const fault = fixture.jobs.submit(ticket, request(1)).swap().unsafeCoerce();
            assert.deepEqual([fault.code, fault.verdict], ["ticket_expired", "may_have_run"]);
            assert.equal(fixture.starts.length, 1);
        });

        it("guards against accepting a ticket that expired unused", () => {
            const fixture = new JobsFixture();
            const ticket = fixture.ticket();
            fixture.clock.advance(600_000);
            const fault = fixture.jobs.submit(ticket, request(1)).swap().unsafeCoerce();
            assert.deepEqual([fault.code, fault.verdict], ["ticket_expired", "not_run"]);
        });
    });

    describe("failure", () => {
        it("guards against running the rest of a job after a failure under the stop policy", () => {
            const fixture = new JobsFixture();
            const job = fixture.submit(fixture.ticket(), 6);
            [0, 1, 2, 3].forEach(index => fixture.end(index, index === 0 ? "failed" : "ok"));
            assert.equal(fixture.starts.length, 4);
            assert.equal(job.answer.reason?.code, "stopped");
            assert.deepEqual(job.answer.tasks.map(task => task.verdict).slice(4), ["not_run", "not_run"]);
        });

        it("guards against stopping under the continue policy", () => {
            const fixture = new JobsFixture();
            const job = fixture.submit(fixture.ticket(), 6, { onFailure: "continue" });
            [0, 1, 2, 3, 4, 5].forEach(index => fixture.end(index, index === 0 ? "failed" : "ok"));
            assert.ok(job.answer.tasks.every(task => task.verdict === "ran"));
            assert.equal(job.answer.state, "failed");
        });

        it("guards against reporting a task as not run whose first attempt ran and whose retry never started", () => {
            const fixture = new JobsFixture(() => new FairScheduler(new SeededRandom(1)));
            const tasks = [{ payload: 0, repeatable: true }];
            const job = fixture.submit(fixture.ticket(), 1, { tasks });
            fixture.end(0, "failed");
            assert.equal(job.finished, false);
            AGENTS.forEach(agent => fixture.detach(agent));
            fixture.clock.advance(DEADLINE_MS + 1);
            assert.deepEqual(job.answer.tasks.map(task => task.verdict), ["ran"]);
            assert.equal(job.answer.verdict, "ran");
        });

        it("guards against waiting for the deadline when no agent of the ticket is left", () => {
            const fixture = new JobsFixture();
            const job = fixture.submit(fixture.ticket(), 6);
            AGENTS.forEach(agent => fixture.lose(agent));
            assert.equal(job.answer.state, "failed");
            assert.deepEqual(job.answer.tasks.map(task => task.verdict).slice(4), ["not_run", "not_run"]);
        });
    });

    describe("random interleavings", () => {
        const agent = fc.constantFrom(...AGENTS);
        const step = fc.oneof(
            fc.record({ kind: fc.constant("submit" as const), tasks: fc.integer({ min: 1, max: 6 }) }),
            fc.record({
                kind: fc.constant("end" as const),
                index: fc.nat(12),
                result: fc.constantFrom("ok" as const, "ok" as const, "failed" as const, "not_run" as const),
            }),
            fc.record({ kind: fc.constant("cancel" as const), job: fc.nat(3) }),
            fc.record({ kind: fc.constantFrom("attach" as const, "detach" as const), agent }),
            fc.record({ kind: fc.constant("lose" as const), agent }),
            fc.record({ kind: fc.constant("advance" as const), ms: fc.integer({ min: 1, max: 1500 }) }),
        );

        function apply(
            fixture: JobsFixture,
            jobs: Job[],
            action: typeof step extends fc.Arbitrary<infer T> ? T : never,
        ): void {
            switch (action.kind) {
                case "submit":
                    fixture.jobs.submit(fixture.ticket(), request(action.tasks)).ifRight(job => jobs.push(job));
                    break;
                case "end":
                    fixture.end(action.index, action.result);
                    break;
                case "cancel":
                    if (jobs[action.job] !== undefined) {
                        fixture.jobs.cancel(jobs[action.job]!);
                    }
                    break;
                case "advance":
                    fixture.clock.advance(action.ms);
                    break;
                default:
                    fixture[action.kind](action.agent);
            }
        }

        function checkAnswer(answer: JobAnswer): void {
            const complete = answer.state === "complete";
            assert.notEqual(answer.state, "running");
            assert.deepEqual(answer.tasks.map(task => task.index), answer.tasks.map((_, index) => index));
            for (const task of answer.tasks) {
                assert.equal(task.output, complete ? `out${task.index}` : undefined);
                assert.ok(!complete || task.error === undefined && task.verdict === "ran");
            }
        }

        it("guards against lost, partial, changing or wrongly complete answers and against second starts", async () => {
            await fc.assert(
                fc.asyncProperty(fc.array(step, { maxLength: 40 }), async steps => {
                    const fixture = new JobsFixture();
                    const jobs: Job[] = [];
                    const early = new Map<Job, JobAnswer>();
                    for (const action of steps) {
                        apply(fixture, jobs, action);
                        jobs.filter(job => job.finished && !early.has(job)).forEach(job => early.set(job, job.answer));
                    }
                    fixture.clock.advance(DEADLINE_MS + Jobs.graceMs);
                    for (const job of jobs) {
                        const answer = await job.done;
                        checkAnswer(answer);
                        assert.equal(early.get(job) ?? answer, job.answer);
                    }
                    assert.equal(fixture.jobs.openCount, 0);
                    const keys = fixture.starts.map(({ message }) => {
                        return `${message.sequence}/${message.task}/${message.attempt}`;
                    });
                    assert.equal(new Set(keys).size, keys.length);
                }),
                { seed: 7, numRuns: 500 },
            );
        });

        it("guards against reporting a started task as not run although the agent did not refuse it", async () => {
            await fc.assert(
                fc.asyncProperty(fc.array(step, { maxLength: 40 }), async steps => {
                    const fixture = new JobsFixture();
                    const jobs: Job[] = [];
                    const withoutRefusals = steps.filter(action =>
                        action.kind !== "end" || action.result !== "not_run"
                    );
                    withoutRefusals.forEach(action => {
                        apply(fixture, jobs, action);
                    });
                    fixture.clock.advance(DEADLINE_MS + Jobs.graceMs);
                    for (const job of jobs) {
                        const started = fixture.starts.filter(({ message }) =>
                            message.sequence === job.ticket.sequence
                        );
                        const { tasks } = await job.done;
                        const verdicts = new Set(started.map(({ message }) => tasks[message.task]?.verdict));
                        assert.ok(!verdicts.has("not_run"));
                    }
                }),
                { seed: 8, numRuns: 500 },
            );
        });
    });
});
