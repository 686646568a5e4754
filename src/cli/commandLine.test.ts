import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { SilentLog } from "../common/log/SilentLog.js";
import { NoMetrics } from "../common/NoMetrics.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { SystemClock } from "../common/SystemClock.js";
import { DemoDeployment } from "./DemoDeployment.js";
import { ExitCode } from "./ExitCode.js";
import { RecordingTerminal } from "./RecordingTerminal.js";
import { registerClientCommands } from "./registerClientCommands.js";
import { loadAgent } from "./roles/loadAgent.js";
import { loadEndpoint } from "./roles/loadEndpoint.js";
import { loadEntry } from "./roles/loadEntry.js";
import { loadPlatform } from "./roles/loadPlatform.js";
import { runCommandLine } from "./runCommandLine.js";

interface Run {
    readonly code: ExitCode;
    readonly lines: readonly string[];
    readonly errors: readonly string[];
    /** Standard output parsed as JSON. */
    json(): Record<string, unknown>;
}

async function run(
    args: readonly string[],
    file?: string,
    terminal: RecordingTerminal = new RecordingTerminal(file),
): Promise<Run> {
    const code = await runCommandLine(args, terminal, "1.2.3", [registerClientCommands]);
    const { lines, errors } = terminal;
    return { code, lines, errors, json: () => JSON.parse(lines.join("\n")) as Record<string, unknown> };
}

describe("command line against real roles", { timeout: 120_000 }, () => {
    let deployment: DemoDeployment;
    let client: readonly string[];
    let section: string;

    before(async () => {
        const runtime = {
            clock: new SystemClock(),
            log: new SilentLog(),
            metrics: new NoMetrics(),
            random: new SeededRandom(1),
        };
        deployment = new DemoDeployment({
            entry: await loadEntry(),
            agent: await loadAgent(),
            platform: await loadPlatform(),
            endpoint: await loadEndpoint(),
        }, runtime);
        await deployment.start();
        client = [...deployment.entryUrls.flatMap(url => ["--entry", url]), "--token", deployment.token, "--json"];
        section = JSON.stringify({ team: deployment.team, services: { [deployment.service]: {} } });
        const put = await run(["config", "put", deployment.team, ...client, "--revision", "0"], section);
        assert.equal(put.code, ExitCode.Success, put.errors.join("\n"));
    });

    after(async () => {
        assert.deepEqual(await deployment.stop(), []);
    });

    /** Submits tasks; retries while the configuration is not yet in force at every entry. */
    async function submit(tasks: readonly unknown[], more: readonly string[] = []): Promise<Run> {
        const args = ["submit", ...client, "--service", deployment.service, "--deadline-ms", "20000", ...more];
        for (let tries = 0;; tries += 1) {
            const result = await run(args, JSON.stringify(tasks));
            const early = result.errors.some(line => /unknown_service|no_agents|no_configuration/.test(line));
            if (!early || tries > 100) {
                return result;
            }
            await new Promise(resolve => setTimeout(resolve, 100));
        }
    }

    it("guards against an incomplete answer, status or job history of a submission", async () => {
        const result = await submit([{ payload: { runMs: 1, value: 7 } }, { payload: { runMs: 1, value: 8 } }]);
        assert.equal(result.code, ExitCode.Success, result.errors.join("\n"));
        const answer = result.json();
        assert.equal(answer["state"], "complete");
        const ticket = String(answer["ticket"]);
        const status = await run(["status", ticket, ...client]);
        assert.deepEqual([status.code, status.json()["state"]], [ExitCode.Success, "complete"]);
        const history = await run(["explain", ticket, ...client]);
        assert.equal(history.code, ExitCode.Success);
        assert.ok((history.json()["steps"] as unknown[]).length >= 4);
        const again = await submit([{ payload: "other" }], ["--ticket", ticket]);
        assert.equal(again.code, ExitCode.Failure);
        assert.match(again.errors.join("\n"), /ticket_conflict/);
    });

    it("guards against a long wait without the number of ended tasks, and a cancel that does not end it", async () => {
        const tasks = [{ payload: { runMs: 1 } }, { payload: { runMs: 15_000 } }];
        const terminal = new RecordingTerminal(JSON.stringify(tasks));
        const pending = run(["submit", ...client, "--service", deployment.service], undefined, terminal);
        const printed = async (pattern: RegExp) => {
            for (;;) {
                const match = pattern.exec(terminal.errors.join("\n"));
                if (match !== null) {
                    return match[1] ?? "";
                }
                await new Promise(resolve => setTimeout(resolve, 20));
            }
        };
        const ticket = await printed(/under ticket (\S+)/);
        await printed(/(1 of 2 tasks ended)/);
        const cancelled = await run(["cancel", ticket, ...client]);
        assert.equal(cancelled.code, ExitCode.Success, cancelled.errors.join("\n"));
        const result = await pending;
        assert.equal(result.code, ExitCode.Failure);
        assert.equal(result.json()["state"], "failed");
    });

    it("guards against configuration commands that hide an invalid section or a revision conflict", async () => {
        const shown = await run(["config", "get", deployment.team, ...client]);
        assert.equal(shown.code, ExitCode.Success);
        const revision = String(shown.json()["revision"]);
        assert.equal((await run(["config", "check", ...client], section)).code, ExitCode.Success);
        const faulty = await run(
            ["config", "check", ...client],
            '{"team":"demo-team","services":{"x":{"shards":"a"}}}',
        );
        assert.equal(faulty.code, ExitCode.Failure);
        const stale = await run(["config", "put", deployment.team, ...client, "--revision", "0"], section);
        assert.equal(stale.code, ExitCode.Failure);
        assert.match(stale.errors.join("\n"), /revision_conflict/);
        const put = await run(["config", "put", deployment.team, ...client, "--revision", revision], section);
        assert.equal(put.code, ExitCode.Success);
        assert.ok(Number(put.json()["revision"]) > Number(revision));
        assert.equal((await run(["config", "status", ...client])).code, ExitCode.Success);
        assert.equal((await run(["status", ...client])).code, ExitCode.Success);
    });

    it("guards against a refusal that is printed as success", async () => {
        const url = deployment.entryUrls[0] ?? "";
        const result = await run(["drain", "--entry", url, "--token", "not a token of the deployment", "--json"]);
        assert.equal(result.code, ExitCode.Failure);
        assert.equal((result.json()["error"] as { code: string; }).code, "unauthorized");
    });

    it("guards against a drain of one entry that loses jobs", async () => {
        const [first = "", second = ""] = deployment.entryUrls;
        const one = await run(["drain", "--entry", second, "--token", deployment.token]);
        assert.deepEqual([one.code, one.lines], [ExitCode.Success, [`${second} is draining`]]);
        client = ["--entry", second, "--entry", first, "--token", deployment.token, "--json"];
        const result = await submit([{ payload: { runMs: 1 } }]);
        assert.equal(result.code, ExitCode.Success, result.errors.join("\n"));
    });
});

describe("config put after a lost reply", () => {
    for (const kind of ["applied", "not_applied"]) {
        it(`guards against a change that is ${kind} but reported otherwise, reported twice or sent again`, async () => {
            const requests: string[] = [];
            const server = createServer((request, response) => {
                requests.push(`${request.method ?? ""} ${request.url ?? ""}`);
                const lost = { error: { code: "store_unavailable", message: "unknown" }, verdict: "may_have_run" };
                const applied = kind === "applied" ? { revision: 5, verdict: "ran" } : { verdict: "not_run" };
                const [status, body] = request.method === "PUT"
                    ? [503, { ...lost, token: "ab-1" }]
                    : requests.length === 2
                    ? [503, lost]
                    : [200, { kind, ...applied }];
                response.writeHead(status).end(JSON.stringify(body));
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
            const args = ["config", "put", "t", "--entry", url, "--token", "x", "--revision", "4", "--json"];
            const result = await run(args, "{}");
            server.closeAllConnections();
            server.close();
            assert.equal(result.code, kind === "applied" ? ExitCode.Success : ExitCode.Failure);
            assert.equal(result.lines.length, 1);
            assert.deepEqual(requests, [
                "PUT /v1/config/sections/t",
                ...Array<string>(2).fill("GET /v1/config/tokens/ab-1"),
            ]);
        });
    }
});
