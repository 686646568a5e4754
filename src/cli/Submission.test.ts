import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";
import { afterEach, describe, it } from "node:test";
import { SystemClock } from "../common/SystemClock.js";
import { EntryClient } from "./EntryClient.js";
import { Submission } from "./Submission.js";

const JOB = { service: "s", deadlineMs: 60_000, tasks: [{ payload: 1 }] };
const COMPLETE = { ticket: "t1", state: "complete", verdict: "ran", tasks: [{ index: 0, verdict: "ran", output: 1 }] };
const RUNNING = { ticket: "t1", state: "running", verdict: "may_have_run", tasks: [] };

describe("Submission", () => {
    const servers: Server[] = [];
    const requests: { entry: number; route: string; ticket: unknown; token: string | undefined; }[] = [];

    afterEach(() => {
        for (const server of servers.splice(0)) {
            server.closeAllConnections();
            server.close();
        }
        requests.length = 0;
    });

    /** Starts a fake entry with one reply for each route; on a route without a reply it closes the connection. */
    async function entry(replies: Readonly<Record<string, readonly [number, unknown]>>): Promise<EntryClient> {
        const number = servers.length;
        const server = createServer((request, response) => {
            void text(request).then(body => {
                const route = `${request.method ?? ""} ${(request.url ?? "").replace(/\?.*/, "")}`;
                const ticket = body === "" ? undefined : (JSON.parse(body) as { ticket?: string; }).ticket;
                requests.push({ entry: number, route, ticket, token: request.headers.authorization });
                const reply = replies[route];
                if (reply === undefined) {
                    request.socket.destroy();
                    return;
                }
                response.writeHead(reply[0]).end(JSON.stringify(reply[1]));
            });
        });
        servers.push(server);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return new EntryClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, "token");
    }

    function submission(clients: readonly EntryClient[]): Submission {
        return new Submission(clients, new SystemClock(), () => undefined);
    }

    it("guards against a resubmission under another ticket when an entry fails during the wait", async () => {
        const first = await entry({
            "POST /v1/tickets": [200, { tickets: ["t1"], expiresInMs: 1 }],
            "POST /v1/jobs": [202, RUNNING],
        });
        const second = await entry({ "POST /v1/jobs": [200, COMPLETE] });
        const result = await submission([first, second]).run(JOB);
        assert.equal(result.map(({ answer }) => answer.state).extract(), "complete");
        const submissions = requests.filter(({ route }) => route === "POST /v1/jobs");
        assert.deepEqual(submissions.map(({ entry: at, ticket }) => [at, ticket]), [[0, "t1"], [1, "t1"]]);
        assert.ok(requests.every(({ token }) => token === "Bearer token"));
    });

    it("guards against a retry at another entry after a refusal", async () => {
        const error = { error: { code: "ticket_conflict", message: "another body" }, verdict: "not_run" };
        const first = await entry({ "POST /v1/jobs": [409, error] });
        const second = await entry({ "POST /v1/jobs": [200, COMPLETE] });
        const result = await submission([first, second]).run(JOB, "t1");
        assert.equal(result.swap().map(({ code }) => code).extract(), "ticket_conflict");
        assert.equal(requests.length, 1);
    });

    it("guards against a draining entry that ends the submission", async () => {
        const error = { error: { code: "draining", message: "leaving" }, verdict: "not_run" };
        const first = await entry({ "POST /v1/jobs": [503, error] });
        const second = await entry({ "POST /v1/jobs": [200, COMPLETE] });
        const result = await submission([first, second]).run(JOB, "t1");
        assert.ok(result.isRight());
    });
});
