import * as fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AttemptKey } from "../agent/AttemptKey.js";
import { AttemptRecords } from "../agent/AttemptRecords.js";
import { Emitter } from "../common/Emitter.js";
import { SilentLog } from "../common/log/SilentLog.js";
import type { Ticket } from "../common/ticket/Ticket.js";
import { Verdict } from "../common/Verdict.js";
import { VirtualClock } from "../common/VirtualClock.js";
import type { Channel } from "../common/wire/Channel.js";
import type { Message } from "../common/wire/Message.js";
import type { Outcome } from "../common/wire/Outcome.js";
import { JobHistories } from "../entry/controllers/JobHistories.js";
import { resultFromRecords } from "../entry/controllers/resultFromRecords.js";
import { Settlement } from "../entry/controllers/Settlement.js";

const RUNS = { seed: 20_261_204, numRuns: 6000 };
const ISSUER = "0123456789abcdef";
const RETENTION_MS = 1000;
const MAX_RECORD_BYTES = 1_000_000;
const AGENT_COUNT = 2;
const TASK_COUNT = 2;
const MAX_ATTEMPTS = 3;

/** Actions of spec/ticket.pml; the number of an `Action` selects a task, an agent or a message in flight. */
const ACTIONS = ["start", "deliver", "finish", "revoke", "answer", "settle", "drop", "restart", "lose"] as const;
type Action = readonly [name: (typeof ACTIONS)[number], choice: number];
type InFlightMessage = {
    readonly agent: number;
    readonly incarnation: number;
    readonly key: AttemptKey;
    readonly kind: "start" | "revoke";
};

/** Agent with the real `AttemptRecords`; the test decides what its endpoint and connections do. */
class ModelAgent {
    public incarnation = 1;
    public records: AttemptRecords;
    public running: AttemptKey[] = [];
    private readonly subscribers = new Set<Emitter<Message>>();

    constructor(private readonly index: number, private readonly clock: VirtualClock) {
        this.records = new AttemptRecords(clock, MAX_RECORD_BYTES, RETENTION_MS);
    }

    public get address(): { readonly address: string; readonly incarnation: string; } {
        return { address: `127.0.0.1:${this.index}`, incarnation: `${this.index}-${this.incarnation}` };
    }

    public restart(): void {
        this.incarnation += 1;
        this.records = new AttemptRecords(this.clock, MAX_RECORD_BYTES, RETENTION_MS);
        this.running = [];
        this.subscribers.clear();
    }

    public finish(key: AttemptKey): Outcome {
        const outcome = { task: key.task, attempt: key.attempt, verdict: Verdict.Ran, ok: true, output: 1, runMs: 1 };
        this.running = this.running.filter(other => other !== key);
        this.records.finish(key, outcome, 1);
        const { issuer, sequence } = key;
        this.subscribers.forEach(to => to.fire({ kind: "outcome", issuer, sequence, outcome, credit: false }));
        return outcome;
    }

    /** Channel on which a settling entry requests the records. */
    public connect(): Channel {
        const messages = new Emitter<Message>();
        const closes = new Emitter<string>();
        this.subscribers.add(messages);
        const identity = { role: "agent", id: "a", region: "r", failureDomain: "f", ...this.address } as const;
        const send = (message: Message) => {
            if (message.kind === "settle") {
                const { issuer, sequence } = message;
                messages.fire({ kind: "records", issuer, sequence, ...this.records.settle(issuer, sequence) });
            }
            return true;
        };
        const close = () => this.subscribers.delete(messages);
        return {
            peer: identity,
            open: true,
            onMessage: messages.event,
            onClose: closes.event,
            send,
            close,
            dispose: close,
        };
    }
}

/** Issuer with the rules of design section 7.1, two agents and a settling entry; asserts the specified properties. */
class Model {
    private readonly clock = new VirtualClock();
    private readonly agents = Array.from({ length: AGENT_COUNT }, (_, index) => new ModelAgent(index, this.clock));
    private readonly ticket: Ticket;
    private readonly settlement: Settlement;
    private inFlight: InFlightMessage[] = [];
    private outcomes: Outcome[] = [];
    private answered = false;
    private settling: Promise<void> | undefined;
    private readonly tasks = Array.from({ length: TASK_COUNT }, () => ({
        attempts: 0,
        pending: undefined as { readonly agent: number; readonly incarnation: number; } | undefined,
        final: undefined as Verdict | undefined,
        starts: 0,
        ended: false,
        answers: [] as Verdict[],
    }));

    constructor() {
        const agents = this.agents.map(agent => agent.address);
        this.ticket = { issuer: ISSUER, address: "127.0.0.1:9", sequence: 1, service: "s", team: "t", agents };
        const dial = (address: string) => Promise.resolve(this.agents[Number(address.split(":")[1])]!.connect());
        const histories = new JobHistories("settling", new SilentLog());
        this.settlement = new Settlement({ clock: this.clock, dial, histories });
    }

    public async run(actions: readonly Action[]): Promise<void> {
        for (const [name, choice] of actions) {
            this[name](choice);
            if (name === "settle") {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
        this.agents.forEach(agent => [...agent.running].forEach(key => this.finishAttempt(agent, key)));
        this.clock.advance(700_000);
        await this.settling;
        this.answer();
        for (const task of this.tasks) {
            const [first, second] = task.answers;
            assert.ok(!(first === Verdict.NotRun && second === Verdict.Ran), "answers contradict each other");
            assert.ok(!(first === Verdict.Ran && second === Verdict.NotRun), "answers contradict each other");
            assert.ok(
                task.starts === 0 || !task.answers.includes(Verdict.NotRun),
                "a task that started is answered as not run",
            );
        }
    }

    public start(choice: number): void {
        const task = choice % TASK_COUNT;
        const state = this.tasks[task]!;
        const agent = (choice >> 1) % AGENT_COUNT;
        if (
            this.answered || state.pending !== undefined || state.final !== undefined || state.attempts >= MAX_ATTEMPTS
        ) {
            return;
        }
        state.attempts += 1;
        state.pending = { agent, incarnation: 1 };
        this.send("start", task);
    }

    public revoke(choice: number): void {
        const task = choice % TASK_COUNT;
        if (!this.answered && this.tasks[task]!.pending !== undefined) {
            this.send("revoke", task);
        }
    }

    public deliver(choice: number): void {
        const index = choice % Math.max(1, this.inFlight.length + this.outcomes.length);
        const received = this.inFlight[index];
        if (received === undefined) {
            this.outcomes.splice(index - this.inFlight.length, 1).forEach(outcome => this.receive(outcome));
            return;
        }
        this.inFlight = this.inFlight.filter(other => other !== received);
        const agent = this.agents[received.agent]!;
        if (agent.incarnation !== received.incarnation) {
            return;
        }
        if (received.kind === "start") {
            this.handleStart(agent, received.key);
            return;
        }
        const outcome = agent.records.revoke(received.key);
        this.outcomes.push(...outcome === undefined ? [] : [outcome]);
    }

    public lose(choice: number): void {
        this.outcomes.splice(choice % Math.max(1, this.outcomes.length), 1);
    }

    public finish(choice: number): void {
        const agent = this.agents[choice % AGENT_COUNT]!;
        const key = agent.running[0];
        if (key !== undefined) {
            this.finishAttempt(agent, key);
        }
    }

    public drop(choice: number): void {
        this.clock.advance(RETENTION_MS);
        this.agents[choice % AGENT_COUNT]!.records.sweep();
    }

    public restart(choice: number): void {
        if (choice % 3 === 0) {
            this.agents[choice % AGENT_COUNT]!.restart();
        }
    }

    public answer(): void {
        if (this.answered) {
            return;
        }
        this.answered = true;
        for (const state of this.tasks) {
            this.recordAnswer(state, state.pending === undefined ? state.final ?? Verdict.NotRun : Verdict.MayHaveRun);
        }
    }

    public settle(): void {
        this.settling ??= this.settlement.collectRecords(this.ticket).then(settled => {
            this.tasks.forEach((state, task) => this.recordAnswer(state, resultFromRecords(settled, task).verdict));
        });
        // `run` awaits the settlement and reports a failure; until then the rejection must not count as unhandled.
        this.settling.catch(() => undefined);
    }

    private send(kind: InFlightMessage["kind"], task: number): void {
        const { pending, attempts } = this.tasks[task]!;
        const key = { issuer: ISSUER, sequence: 1, task, attempt: attempts };
        this.inFlight.push({ ...pending!, key, kind });
    }

    private handleStart(agent: ModelAgent, key: AttemptKey): void {
        const decision = agent.records.decideStart(key, false);
        if (decision.kind === "start") {
            agent.records.begin(key, false, "digest");
            agent.running.push(key);
            const state = this.tasks[key.task]!;
            state.starts += 1;
            assert.equal(state.starts, 1, "a task started twice");
            assert.ok(!state.answers.includes(Verdict.NotRun), "a task started after the answer that it was not run");
        }
        else if (decision.kind === "repeat") {
            this.outcomes.push(decision.outcome);
        }
        else if (decision.kind === "refuse") {
            const { task, attempt } = key;
            this.outcomes.push({ task, attempt, verdict: decision.verdict, ok: false, runMs: 0 });
        }
    }

    private finishAttempt(agent: ModelAgent, key: AttemptKey): void {
        this.tasks[key.task]!.ended = true;
        this.outcomes.push(agent.finish(key));
    }

    private receive(outcome: Outcome): void {
        const state = this.tasks[outcome.task]!;
        if (this.answered || state.pending === undefined || outcome.attempt !== state.attempts) {
            return;
        }
        state.pending = undefined;
        state.final = outcome.verdict === Verdict.NotRun ? undefined : outcome.verdict;
    }

    private recordAnswer(state: (typeof this.tasks)[number], verdict: Verdict): void {
        assert.ok(verdict !== Verdict.NotRun || state.starts === 0, "a task that started is answered as not run");
        assert.ok(verdict !== Verdict.Ran || state.ended, "a task is answered as ran before it finished");
        state.answers.push(verdict);
    }
}

describe("tickets with the real records and settlement", { timeout: 120_000 }, () => {
    it("guards against a second start and a false or contradictory verdict in any order of actions", async () => {
        const name = fc.oneof(
            { weight: 5, arbitrary: fc.constant("deliver" as const) },
            { weight: 2, arbitrary: fc.constantFrom("start" as const, "revoke" as const, "drop" as const) },
            { weight: 1, arbitrary: fc.constantFrom("finish" as const, "settle" as const) },
            { weight: 1, arbitrary: fc.constantFrom(...ACTIONS) },
        );
        const action = fc.tuple(name, fc.nat({ max: 11 }));
        const property = fc.asyncProperty(
            fc.array(action, { minLength: 10, maxLength: 40, size: "max" }),
            async actions => {
                await new Model().run(actions);
            },
        );
        await fc.assert(property, RUNS);
    });
});
