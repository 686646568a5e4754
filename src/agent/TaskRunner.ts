import { FaultCode } from "../common/FaultCode.js";
import type { Log } from "../common/log/Log.js";
import { Verdict } from "../common/Verdict.js";
import type { Channel } from "../common/wire/Channel.js";
import type { MessageOf } from "../common/wire/MessageOf.js";
import type { Outcome } from "../common/wire/Outcome.js";
import { AgentEvent } from "./AgentEvent.js";
import type { AttemptKey } from "./AttemptKey.js";
import type { AttemptRecords } from "./AttemptRecords.js";
import type { CallResult } from "./CallResult.js";
import type { EndpointHttpClient } from "./EndpointHttpClient.js";
import type { SlotCredits } from "./SlotCredits.js";

type Start = MessageOf<"start">;
type Reason = Pick<Outcome, "verdict" | "error">;

interface RunningTask {
    readonly key: AttemptKey;
    /** Channel on which the start arrived. */
    readonly channel: Channel;
    readonly abort: AbortController;
}

/** Decides whether a task may start, runs tasks at the endpoint and reports their outcomes. */
export class TaskRunner {
    private readonly tasks = new Set<RunningTask>();
    private readonly channels = new Set<Channel>();
    /** Channels that have settled a ticket and wait for the outcomes of its running tasks, by ticket. */
    private readonly followers = new Map<string, Set<Channel>>();

    constructor(
        private readonly incarnation: string,
        private readonly records: AttemptRecords,
        private readonly slots: SlotCredits<Channel>,
        /** Returns the client of the endpoint; `undefined` while no endpoint is announced. */
        private readonly client: () => EndpointHttpClient | undefined,
        private readonly log: Log,
    ) {}

    public get running(): number {
        return this.tasks.size;
    }

    /** Number of running tasks that were started over `channel`. */
    public runningOf(channel: Channel): number {
        return [...this.tasks].filter(task => task.channel === channel).length;
    }

    public get runningKeys(): AttemptKey[] {
        return [...this.tasks].map(task => task.key);
    }

    /** Uses `channel` to report outcomes to its peer until it closes. */
    public addChannel(channel: Channel): void {
        this.channels.add(channel);
        channel.onClose(() => this.channels.delete(channel));
    }

    public start(channel: Channel, start: Start): void {
        const { issuer, sequence, task, attempt } = start;
        const key: AttemptKey = { issuer, sequence, task, attempt };
        const client = this.client();
        const decision = channel.peer.incarnation === issuer
            ? this.records.decideStart(key, start.repeatable)
            : { kind: "refuse" as const, ...notIssuer() };
        const hadCredit = this.slots.spend(channel, start.queued);
        if (decision.kind === "start" && client !== undefined && hadCredit) {
            this.run(channel, start, key, client);
            return;
        }
        const credit = hadCredit && this.slots.finish(channel);
        if (decision.kind === "running") {
            this.log.write(AgentEvent.StartRepeated, { ...key });
            channel.send({ kind: "revoked", ...key });
            this.returnCredit(channel, credit);
        }
        else if (decision.kind === "repeat") {
            this.log.write(AgentEvent.StartRepeated, { ...key });
            channel.send({ kind: "outcome", issuer, sequence, outcome: decision.outcome, credit });
        }
        else {
            const reason = decision.kind === "refuse"
                ? { verdict: decision.verdict, error: { code: decision.code, message: decision.message } }
                : notReady(client);
            this.refuse(channel, key, reason, credit);
        }
    }

    public cancel(message: MessageOf<"cancel">): void {
        for (const { key, abort } of this.tasks) {
            const sameTicket = key.issuer === message.issuer && key.sequence === message.sequence;
            if (sameTicket && (message.task ?? key.task) === key.task) {
                this.log.write(AgentEvent.TaskCancelled, { ...key });
                abort.abort();
            }
        }
    }

    public revoke(channel: Channel, message: MessageOf<"revoke">): void {
        const { issuer, sequence, task, attempt } = message;
        const key = { issuer, sequence, task, attempt };
        const outcome = this.records.revoke(key);
        this.log.write(AgentEvent.AttemptRevoked, { ...key, verdict: outcome?.verdict ?? "running" });
        if (outcome === undefined) {
            channel.send({ kind: "revoked", ...key });
        }
        else if (channel.send({ kind: "outcome", issuer, sequence, outcome, credit: false })) {
            this.records.markDelivered(key);
        }
    }

    public settle(channel: Channel, message: MessageOf<"settle">): void {
        const { issuer, sequence, agent } = message;
        if (agent !== this.incarnation) {
            this.log.write(AgentEvent.SettleMisdirected, { issuer, sequence, agent });
            channel.send({ kind: "records", issuer, sequence, complete: false, tasks: [] });
            return;
        }
        const { complete, digest, tasks } = this.records.settle(issuer, sequence);
        this.log.write(AgentEvent.TicketSettled, {
            issuer,
            sequence,
            complete,
            tasks: tasks.length,
            by: channel.peer.id,
        });
        if (tasks.some(task => (task.outcome ?? undefined) === undefined)) {
            this.follow(idOf({ issuer, sequence }), channel);
        }
        channel.send({ kind: "records", issuer, sequence, complete, digest, tasks });
    }

    /** Sends undelivered outcomes to their issuer, the peer of `channel`. */
    public sendUndelivered(channel: Channel): void {
        const undelivered = this.records.undelivered(channel.peer.incarnation);
        for (const { key, outcome } of undelivered) {
            const { issuer, sequence } = key;
            if (channel.send({ kind: "outcome", issuer, sequence, outcome, credit: false })) {
                this.records.markDelivered(key);
            }
        }
        if (undelivered.length > 0) {
            this.log.write(AgentEvent.OutcomesDelivered, { entry: channel.peer.id, count: undelivered.length });
        }
    }

    private run(channel: Channel, start: Start, key: AttemptKey, client: EndpointHttpClient): void {
        this.records.begin(key, start.repeatable, start.digest);
        const running: RunningTask = { key, channel, abort: new AbortController() };
        this.tasks.add(running);
        this.log.write(AgentEvent.TaskStarted, { ...key, budgetMs: start.budgetMs });
        void client.call(start, running.abort.signal).then(result => {
            this.handleResult(running, result);
        });
    }

    private handleResult(running: RunningTask, { outcome, outputBytes }: CallResult): void {
        const { key, channel } = running;
        this.tasks.delete(running);
        this.records.finish(key, outcome, outputBytes);
        const { verdict, ok, runMs, error } = outcome;
        this.log.write(AgentEvent.TaskEnded, { ...key, verdict, ok, runMs, code: error?.code });
        this.report(key, outcome, channel, this.slots.finish(channel));
        this.notifyFollowers(key, outcome);
    }

    /**
     * Reports an outcome to its issuer: over the channel of the start, or else over any other channel of the same
     * incarnation.
     */
    private report(key: AttemptKey, outcome: Outcome, channel: Channel, credit: boolean): void {
        const { issuer, sequence } = key;
        const others = [...this.channels].filter(other => other !== channel && other.peer.incarnation === issuer);
        const sent = channel.send({ kind: "outcome", issuer, sequence, outcome, credit })
            || others.some(other => other.send({ kind: "outcome", issuer, sequence, outcome, credit: false }));
        if (sent) {
            this.records.markDelivered(key);
        }
        else {
            this.log.write(AgentEvent.OutcomeKept, { ...key });
        }
    }

    private follow(id: string, channel: Channel): void {
        const channels = this.followers.get(id) ?? new Set<Channel>();
        channels.add(channel);
        this.followers.set(id, channels);
        channel.onClose(() => channels.delete(channel));
    }

    private notifyFollowers(key: AttemptKey, outcome: Outcome): void {
        const id = idOf(key);
        const { issuer, sequence } = key;
        for (const follower of this.followers.get(id) ?? []) {
            follower.send({ kind: "outcome", issuer, sequence, outcome, credit: false });
        }
        if (![...this.tasks].some(task => idOf(task.key) === id)) {
            this.followers.delete(id);
        }
    }

    private refuse(channel: Channel, key: AttemptKey, reason: Reason, credit: boolean): void {
        const { issuer, sequence, task, attempt } = key;
        const fields = { ...key, verdict: reason.verdict, code: reason.error?.code };
        this.log.write(AgentEvent.StartRefused, fields);
        if (this.records.isIssuerFenced(issuer)) {
            channel.send({ kind: "fenced", issuer });
        }
        channel.send({
            kind: "outcome",
            issuer,
            sequence,
            outcome: { task, attempt, ok: false, ...reason, runMs: 0 },
            credit,
        });
    }

    private returnCredit(channel: Channel, credit: boolean): void {
        if (credit) {
            channel.send({ kind: "credit", count: 1 });
        }
    }
}

function idOf(key: { readonly issuer: string; readonly sequence: number; }): string {
    return `${key.issuer}:${key.sequence}`;
}

function notIssuer(): { code: FaultCode; verdict: Verdict; message: string; } {
    return { code: FaultCode.IssuerFenced, verdict: Verdict.NotRun, message: "the sender did not issue the ticket" };
}

function notReady(client: EndpointHttpClient | undefined): Reason {
    const verdict = Verdict.NotRun;
    return client === undefined
        ? { verdict, error: { code: FaultCode.Draining, message: "no endpoint is announced at the agent" } }
        : { verdict, error: { code: FaultCode.NoSlot, message: "the sender has no credit" } };
}
