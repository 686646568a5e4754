import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Random } from "../common/Random.js";
import type { Runtime } from "../common/Runtime.js";
import { EndpointEvent } from "./EndpointEvent.js";
import type { InjectedFaults } from "./InjectedFaults.js";
import { TaskPayload } from "./TaskPayload.js";

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** GET returns the number of starts of each task by `issuer/sequence/task`. */
const STARTS_PATH = "/v1/starts";

/** HTTP server whose tasks are timers, with a count of the starts of each task. */
export class TaskServer {
    private readonly startCounts = new Map<string, number>();
    private readonly runningTasks = new Set<string>();
    private readonly server: Server;
    private draining = false;

    private constructor(
        private readonly faults: InjectedFaults,
        private readonly random: Random,
        private readonly runtime: Runtime,
    ) {
        this.server = createServer((request, response) => {
            void this.serve(request, response);
        });
    }

    public static async listen(
        address: { readonly host: string; readonly port: number; },
        faults: InjectedFaults,
        random: Random,
        runtime: Runtime,
    ): Promise<TaskServer> {
        const tasks = new TaskServer(faults, random, runtime);
        await new Promise<void>((resolve, reject) => {
            tasks.server.once("error", reject);
            tasks.server.listen(address.port, address.host, resolve);
        });
        return tasks;
    }

    public get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Number of starts by `issuer/sequence/task`. */
    public get starts(): ReadonlyMap<string, number> {
        return this.startCounts;
    }

    /** Names of the running tasks, as `issuer/sequence/task/attempt`. */
    public get running(): readonly string[] {
        return [...this.runningTasks];
    }

    /** Answers further requests with 503 and the header `x-waxwingshunt-not-run`, which says that nothing was run. */
    public refuseNew(): void {
        this.draining = true;
    }

    public async dispose(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.method === "GET" && request.url === STARTS_PATH) {
            sendJson(response, 200, Object.fromEntries(this.startCounts));
            return;
        }
        const payload = await readPayload(request);
        if (request.method !== "POST" || payload === undefined) {
            const message =
                `expected POST with a JSON body {runMs, value?, fail?, timed?} of at most ${MAX_BODY_BYTES} bytes`;
            this.refuse(response, request.method === "POST" ? 400 : 405, message);
        }
        else if (this.draining) {
            response.setHeader("x-waxwingshunt-not-run", "true");
            this.refuse(response, 503, "endpoint is draining");
        }
        else {
            this.run(request, response, payload);
        }
    }

    private run(request: IncomingMessage, response: ServerResponse, payload: TaskPayload): void {
        const task = ["issuer", "sequence", "task"].map(name => headerOf(request, name)).join("/");
        const name = `${task}/${headerOf(request, "attempt")}`;
        const { speed, silentShare, failureShare, stragglerShare, stragglerFactor } = this.faults;
        // Each task draws the same number of random values, so a changed share does not shift the draws of later tasks.
        const [silentDraw, failureDraw, stragglerDraw] = [this.random.next(), this.random.next(), this.random.next()];
        const runMs = payload.runMs / speed * (stragglerDraw < stragglerShare ? stragglerFactor : 1);
        const fails = payload.fail === true || failureDraw < failureShare;
        this.startCounts.set(task, (this.startCounts.get(task) ?? 0) + 1);
        this.runningTasks.add(name);
        const { clock, log } = this.runtime;
        const startedAt = Date.now();
        log.write(EndpointEvent.TaskStarted, { name, runMs });
        const cancel = silentDraw < silentShare ? () => undefined : clock.schedule(runMs, () => {
            log.write(EndpointEvent.TaskEnded, { name, runMs, fails });
            this.runningTasks.delete(name);
            const output = { value: payload.value, runMs, ...(payload.timed === true ? { startedAt } : {}) };
            sendJson(response, fails ? 500 : 200, fails ? { error: "task failed" } : output);
        });
        response.once("close", () => {
            cancel();
            if (this.runningTasks.delete(name)) {
                log.write(EndpointEvent.TaskAborted, { name });
            }
        });
    }

    private refuse(response: ServerResponse, status: number, message: string): void {
        this.runtime.log.write(EndpointEvent.RequestRefused, { status, message });
        sendJson(response, status, { error: message });
    }
}

function headerOf(request: IncomingMessage, name: string): string {
    return String(request.headers[`x-waxwingshunt-${name}`] ?? "");
}

async function readPayload(request: IncomingMessage): Promise<TaskPayload | undefined> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            bytes += chunk.length;
            if (bytes > MAX_BODY_BYTES) {
                return undefined;
            }
            chunks.push(chunk);
        }
        const parsed = TaskPayload.safeParse(JSON.parse(Buffer.concat(chunks).toString("utf8")));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
    response.statusCode = status;
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify(body));
}
