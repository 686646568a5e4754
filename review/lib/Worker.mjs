import { Agent, createServer, request as sendRequest } from "node:http";
import { performance } from "node:perf_hooks";
import { readJson, sendJson } from "./http.mjs";

const MAX_LEASE_MS = 1000;
const STOP_MS = 40;
const MAX_LISTED_ENDS = 500;
const PING_TIMEOUT_MS = 1000;

/** Delay before a ping without an acknowledgement is repeated. */
const PING_RETRY_MS = 200;

/** Takes the response to a call that gets none. */
const UNANSWERED = { destroyed: true };

/**
 * Stand-in for a worker of the platform. It guards its capacity, holds leases on its own steady clock, keeps the highest
 * fence of its lifetime, and sends pings to the control address of its machine. `runs` has every run of every lifetime.
 */
export class Worker {
    runs = [];
    /** Decides how a call is delivered: `answered`, `lost` (executed without a response) or `late` (after `delayMs`). */
    deliveryOf = () => ({ kind: "answered" });
    #options;
    #recorder;
    #server;
    #up = false;
    #bornMs = 0;
    #bornAt = 0;
    #fence = 0;
    #leaseUntilMs = 0;
    #running = new Map();
    #highestRuns = new Map();
    #ends = [];
    #endCount = 0;
    #sequence = 0;
    #pollers = new Set();
    #timers = new Set();
    #pingAgent = new Agent({ keepAlive: true });

    /**
     * `options`: `id`, `service`, `zone`, `capacity`, `labels`, `listen` (host and port), `address` (announced), `control`
     * (host and port of the agent), `heartbeatMs`, and `workOf`, which returns the run time of a task in milliseconds.
     */
    constructor(options, recorder) {
        this.#options = options;
        this.#recorder = recorder;
    }

    get id() {
        return this.#options.id;
    }

    get labels() {
        return this.#options.labels;
    }

    /** Address that the worker announces. */
    get address() {
        return this.#options.address;
    }

    /** Host and port where its agent takes pings. */
    get control() {
        return this.#options.control;
    }

    /** Unix time of the start of the current lifetime, in milliseconds. */
    get bornMs() {
        return this.#bornMs;
    }

    get runningCount() {
        return this.#running.size;
    }

    /** Begins a lifetime. `firstPingMs` is the time from the start of the process to its first ping. */
    async start(firstPingMs = 0, changes = {}) {
        this.#options = { ...this.#options, ...changes };
        this.#bornMs = Date.now();
        this.#bornAt = performance.now();
        this.#fence = 0;
        this.#leaseUntilMs = 0;
        this.#highestRuns.clear();
        this.#ends = [];
        this.#endCount = 0;
        this.#sequence = 0;
        this.#up = true;
        this.#server = createServer((request, response) => void this.#handle(request, response));
        const { host, port } = this.#options.listen;
        await new Promise(resolve => this.#server.listen(port, host, resolve));
        this.#recorder.write(`worker ${this.id} starts, born ${this.#bornMs}, labels ${this.labels.join(",")}`);
        this.#after(firstPingMs, () => void this.#ping());
    }

    /** Ends the lifetime at once: nothing runs any more, and connections are refused. */
    crash() {
        this.#recorder.write(`worker ${this.id} crashes`);
        this.#up = false;
        this.#timers.forEach(timer => clearTimeout(timer));
        this.#timers.clear();
        [...this.#running.values()].forEach(run => this.#end(run, "crashed"));
        this.#pollers.clear();
        this.#server.close();
        this.#server.closeAllConnections();
    }

    close() {
        if (this.#up) {
            this.crash();
        }
        this.#pingAgent.destroy();
    }

    get #clockMs() {
        return Math.floor(performance.now() - this.#bornAt) + 1;
    }

    #after(ms, action) {
        const timer = setTimeout(() => {
            this.#timers.delete(timer);
            action();
        }, ms);
        this.#timers.add(timer);
        return timer;
    }

    async #handle(request, response) {
        const body = await readJson(request).catch(() => undefined);
        if (!this.#up || response.destroyed || request.socket.destroyed) {
            return;
        }
        const delivery = this.deliveryOf(request.url, body);
        if (delivery.kind === "late") {
            setTimeout(() => {
                if (this.#up) {
                    this.#recorder.write(
                        `worker ${this.id} executes late ${request.url} ${body?.task ?? ""}/${body?.run ?? ""}`,
                    );
                    this.#execute(request, body, UNANSWERED);
                }
            }, delivery.delayMs);
            return;
        }
        this.#execute(request, body, delivery.kind === "lost" ? UNANSWERED : response);
    }

    #execute(request, body, response) {
        if ((request.headers["x-expect-instance"] ?? this.id) !== this.id) {
            this.#send(response, 421, {});
            return;
        }
        if (body === undefined) {
            this.#send(response, request.url === "/healthz" ? 200 : 400, {});
            return;
        }
        if ((body.fence ?? 0) < this.#fence) {
            this.#send(response, 409, { reason: "fence" });
            return;
        }
        this.#fence = body.fence ?? 0;
        switch (request.url) {
            case "/waxwingshunt/run-start":
                this.#handleStart(body, response);
                break;
            case "/waxwingshunt/run-stop":
                this.#handleStop(body, response);
                break;
            case "/waxwingshunt/hold":
                this.#handleHold(body, response);
                break;
            default:
                this.#send(response, 404, {});
        }
    }

    #send(response, status, body) {
        sendJson(response, status, { ...body, "clock-ms": this.#clockMs, "born": this.#bornMs });
    }

    #handleStart(body, response) {
        const { task, run, spec } = body;
        const name = `${task}/${run}`;
        if (this.#running.has(name)) {
            this.#send(response, 200, {});
            return;
        }
        const reason = this.#findRejection(body);
        if (reason !== undefined) {
            this.#recorder.write(`worker ${this.id} rejects start ${name}: ${reason}`);
            this.#send(response, 409, { reason });
            return;
        }
        const record = { worker: this.id, labels: this.labels, task, run, spec, from: this.#recorder.now };
        const entry = { name, record, need: this.#options.needOf(task), stopping: false };
        this.#running.set(name, entry);
        this.runs.push(record);
        this.#recorder.write(`worker ${this.id} starts ${name}`);
        entry.timer = this.#after(this.#options.workOf(task), () => this.#end(entry, "done"));
        this.#send(response, 200, {});
    }

    /** Why a start is rejected; undefined when it is not. Only a start that is not late renews the lease. */
    #findRejection({ task, run, "until-ms": untilMs }) {
        if (untilMs <= this.#clockMs) {
            return "late";
        }
        this.#renewLease(untilMs);
        if (run <= (this.#highestRuns.get(task) ?? 0)) {
            return "old";
        }
        const need = this.#options.needOf(task);
        const { cpu, memoryMb } = this.#options.capacity;
        const used = [...this.#running.values()].map(entry => entry.need);
        const usedCpu = used.reduce((sum, other) => sum + other.cpu, need.cpu);
        const usedMemoryMb = used.reduce((sum, other) => sum + other.memoryMb, need.memoryMb);
        return usedCpu > cpu || usedMemoryMb > memoryMb ? "room" : undefined;
    }

    #handleStop({ task, run }, response) {
        this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
        for (const entry of this.#running.values()) {
            if (entry.record.task === task && entry.record.run <= run && !entry.stopping) {
                entry.stopping = true;
                clearTimeout(entry.timer);
                entry.timer = this.#after(STOP_MS, () => this.#end(entry, "stopped"));
            }
        }
        this.#send(response, 200, {});
    }

    #handleHold(body, response) {
        const acknowledged = body["acked-through"] ?? 0;
        this.#ends = this.#ends.filter(([number]) => number > acknowledged);
        this.#renewLease(body["until-ms"] ?? 0);
        const waitMs = Math.min(2000, body["wait-ms"] ?? 0);
        if (this.#ends.length > 0 || waitMs === 0) {
            this.#sendList(response);
            return;
        }
        const answer = () => {
            clearTimeout(timer);
            this.#pollers.delete(answer);
            this.#sendList(response);
        };
        const timer = this.#after(waitMs, answer);
        this.#pollers.add(answer);
    }

    #sendList(response) {
        const running = [...this.#running.values()].map(({ record }) => [record.task, record.run, "", 0, 0]);
        this.#send(response, 200, { running, finished: this.#ends.slice(0, MAX_LISTED_ENDS) });
    }

    #renewLease(untilMs) {
        this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(untilMs, this.#clockMs + MAX_LEASE_MS));
        this.#after(this.#leaseUntilMs - this.#clockMs + 1, () => {
            if (this.#clockMs >= this.#leaseUntilMs) {
                [...this.#running.values()].forEach(entry => this.#end(entry, "lapsed"));
            }
        });
    }

    #end(entry, how) {
        if (!this.#running.delete(entry.name)) {
            return;
        }
        clearTimeout(entry.timer);
        const { record } = entry;
        record.to = this.#recorder.now;
        record.how = how;
        this.#recorder.write(`worker ${this.id} ends ${entry.name}: ${how}`);
        this.#highestRuns.set(record.task, Math.max(record.run, this.#highestRuns.get(record.task) ?? 0));
        this.#endCount += 1;
        this.#ends.push([this.#endCount, record.task, record.run, how, ""]);
        [...this.#pollers].forEach(answer => answer());
    }

    async #ping() {
        const acknowledged = await this.#sendPing();
        this.#after(acknowledged ? this.#options.heartbeatMs : PING_RETRY_MS, () => void this.#ping());
    }

    #sendPing() {
        this.#sequence += 1;
        const { service, address, zone, capacity, control } = this.#options;
        const body = JSON.stringify({
            "service": service,
            "addr": address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "capacity": { "cpu": capacity.cpu, "mem-mb": capacity.memoryMb, "gpu": 0 },
            "labels": this.labels,
            "clock-ms": this.#clockMs,
            "seq": this.#sequence,
            "born": this.#bornMs,
        });
        const path = `/waxwingshunt/Instances.Heartbeat/${this.id}`;
        const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
        return new Promise(resolve => {
            const call = sendRequest(
                { ...control, path, headers, method: "POST", agent: this.#pingAgent, timeout: PING_TIMEOUT_MS },
                response => {
                    response.resume();
                    response.on("end", () => resolve(response.statusCode === 200));
                    response.on("error", () => resolve(false));
                },
            );
            call.on("timeout", () => call.destroy());
            call.on("error", () => resolve(false));
            call.end(body);
        });
    }
}
