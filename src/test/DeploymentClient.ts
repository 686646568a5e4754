import assert from "node:assert/strict";
import { FaultCode } from "../common/FaultCode.js";
import type { JobAnswer } from "../common/job/JobAnswer.js";
import { Verdict } from "../common/Verdict.js";
import { EntryEvent } from "../entry/EntryEvent.js";
import { until } from "./until.js";

interface Reply {
    readonly status: number;
    readonly body: JobAnswer & {
        readonly tickets: readonly string[];
        readonly error?: { readonly code: string; readonly message: string; };
        readonly members: readonly { readonly id: string; }[];
        readonly steps: readonly { readonly event: number; readonly task?: number; }[];
        readonly revision: number;
    };
}

/** Options of a submission; `repeatable` and `sizeMs` apply to each of its tasks. */
interface SubmitOptions {
    readonly deadlineMs?: number;
    readonly wait?: boolean;
    readonly onFailure?: "stop" | "continue";
    readonly repeatable?: boolean;
    readonly sizeMs?: number;
    readonly signal?: AbortSignal;
}

/** Client of the HTTP interface of entries, with the rights of a caller and of an operator. */
export abstract class DeploymentClient {
    /** Name of the only service and of the team that owns it. */
    public readonly service = "tour";
    protected readonly token = "token of the tour team";

    /** Number of agents attached to an entry. */
    public async attachedTo(id: string): Promise<number> {
        const { body } = await this.call(id, "GET", "/v1/services");
        const { services } = body as unknown as { services: { name: string; agents: number; }[]; };
        return services.find(service => service.name === this.service)?.agents ?? 0;
    }

    /** Indexes of the tasks that the issuer of a job placed on an agent, read from the job history. */
    public async placedTasks(entry: string, ticket: string): Promise<ReadonlySet<number>> {
        const { body } = await this.call(entry, "GET", `/v1/jobs/${ticket}/story`);
        const placed = body.steps.filter(step => step.event === EntryEvent.TaskPlaced.number);
        return new Set(placed.flatMap(step => step.task ?? []));
    }

    /** Requests a ticket; retries while the entry knows no entry with agents and refuses with verdict `not_run`. */
    public async ticket(entry: string): Promise<string> {
        let ticket: string | undefined;
        await until(`a ticket of ${entry}`, async () => {
            const { status, body } = await this.call(entry, "POST", "/v1/tickets", { service: this.service, count: 1 });
            assert.ok(status === 200 || status === 503 && body.verdict === "not_run", JSON.stringify(body));
            ticket = status === 200 ? body.tickets[0] : undefined;
            return ticket !== undefined;
        });
        return ticket ?? "";
    }

    /** Submits a job whose tasks run for `runMs` and output their `value`; waits for its end unless `wait` is false. */
    public submit(
        entry: string,
        ticket: string,
        tasks: readonly { readonly runMs: number; readonly value: unknown; readonly fail?: boolean; }[],
        options: SubmitOptions = {},
    ): Promise<Reply> {
        const { repeatable, sizeMs, signal, ...fields } = options;
        const body = tasks.map(payload => ({ payload, repeatable, sizeMs }));
        const fixed = { ticket, service: this.service, tasks: body };
        const whole = { deadlineMs: 60_000, wait: true, ...fixed, ...fields };
        return this.call(entry, "POST", "/v1/jobs", whole, {}, signal);
    }

    /** Submits a job and retries while it is refused as overloaded; such a refusal must have verdict `not_run`. */
    public async submitUntilAccepted(...job: Parameters<DeploymentClient["submit"]>): Promise<Reply> {
        let reply = await this.submit(...job);
        await until("a submission that is not refused as overloaded", async () => {
            if (reply.body.error?.code !== FaultCode.Overloaded) {
                return true;
            }
            assert.equal(reply.body.verdict, Verdict.NotRun);
            reply = await this.submit(...job);
            return false;
        });
        return reply;
    }

    public async call(
        entry: string,
        method: string,
        path: string,
        body?: unknown,
        headers = {},
        signal?: AbortSignal,
    ): Promise<Reply> {
        const response = await fetch(`http://127.0.0.1:${this.httpPortOf(entry)}${path}`, {
            method,
            headers: { authorization: `Bearer ${this.token}`, connection: "close", ...headers },
            ...signal === undefined ? {} : { signal },
            ...body === undefined ? {} : { body: JSON.stringify(body) },
        });
        return { status: response.status, body: await response.json() as Reply["body"] };
    }

    /** Writes the team's configuration section through an entry if its revision is still `base`; 0 creates it. */
    public put(entry: string, base: number, maxQueuedTasks = 20_000): Promise<Reply> {
        const section = { team: this.service, services: { [this.service]: { maxQueuedTasks, reservedShare: 0 } } };
        const headers = base === 0 ? { "if-none-match": "*" } : { "if-match": `"${base}"` };
        return this.call(entry, "PUT", `/v1/config/sections/${this.service}`, section, headers);
    }

    /** Configuration revisions in force at an entry and at the agents attached to it. */
    public async revisions(entry: string): Promise<readonly number[]> {
        const { body } = await this.call(entry, "GET", "/v1/config");
        const status = (await this.call(entry, "GET", "/v1/config/status")).body as unknown as {
            agents: readonly { readonly revision: number; }[];
        };
        return [body.revision, ...status.agents.map(agent => agent.revision)];
    }

    protected abstract httpPortOf(entry: string): number;
}
