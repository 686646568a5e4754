import assert from "node:assert/strict";
import type { JobAnswer } from "../../common/job/JobAnswer.js";
import type { Verdict } from "../../common/Verdict.js";

/** Error body of the HTTP interface. */
interface Refusal {
    readonly error: { readonly code: string; readonly message: string; };
    readonly verdict: Verdict;
}

type Reply = { readonly status: number; readonly answer: JobAnswer; readonly refusal: undefined; } | {
    readonly status: number;
    readonly answer: undefined;
    readonly refusal: Refusal;
};

/** HTTP client of one entry for one service. */
export class EntryCaller {
    constructor(private readonly url: string, private readonly token: string, private readonly service: string) {}

    public async tickets(count: number): Promise<readonly string[]> {
        const response = await this.send("POST", "/v1/tickets", { service: this.service, count });
        const body = await response.json() as { tickets?: readonly string[]; };
        assert.ok(body.tickets !== undefined, JSON.stringify(body));
        return body.tickets;
    }

    /** Submits a job of tasks with the given run times and waits until it ends; rejects when the connection fails. */
    public async submit(ticket: string, runsMs: readonly number[], deadlineMs = 60_000): Promise<Reply> {
        const tasks = runsMs.map((runMs, index) => ({ payload: { runMs, value: index } }));
        const body = { ticket, service: this.service, deadlineMs, onFailure: "continue", tasks, wait: true };
        const response = await this.send("POST", "/v1/jobs", body);
        const value: unknown = await response.json();
        return response.ok
            ? { status: response.status, answer: value as JobAnswer, refusal: undefined }
            : { status: response.status, answer: undefined, refusal: value as Refusal };
    }

    /** Submits a job, asserts that it is not refused, and returns its answer. */
    public async answer(ticket: string, runsMs: readonly number[], deadlineMs?: number): Promise<JobAnswer> {
        const { answer, refusal } = await this.submit(ticket, runsMs, deadlineMs);
        assert.ok(answer !== undefined, JSON.stringify(refusal));
        return answer;
    }

    /** Writes a section if its revision is `revision` (0 creates it); returns the HTTP status. */
    public async putSection(team: string, revision: number, section: object): Promise<number> {
        const condition: Record<string, string> = revision === 0
            ? { "if-none-match": "*" }
            : { "if-match": `"${revision}"` };
        return (await this.send("PUT", `/v1/config/sections/${team}`, section, condition)).status;
    }

    public async revision(): Promise<number> {
        const response = await this.send("GET", "/v1/config");
        return (await response.json() as { revision: number; }).revision;
    }

    private send(method: string, path: string, body?: object, more: Record<string, string> = {}): Promise<Response> {
        const headers = { "authorization": `Bearer ${this.token}`, "content-type": "application/json", ...more };
        return fetch(this.url + path, {
            method,
            headers,
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        });
    }
}
