import { mkdtempSync, rmSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freeNetwork } from "./freeNetwork.mjs";
import { Program } from "./Program.mjs";
import { Relay } from "./Relay.mjs";
import { RemoteWorker } from "./RemoteWorker.mjs";
import { Store } from "./Store.mjs";
import { Worker } from "./Worker.mjs";

const PORTS = { app: 8165, control: 8166, ready: 8167, front: 8161, store: 8169, behindRelay: 9165 };
const INTERNAL_PORTS = [7720, 7735];
const START_TIMEOUT_MS = 30_000;

export const SERVICE = "huvo11a";
export const HOST = "nony24.example";
export const PREFIX = "/lohu930/";

const BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "outer-ms": 5000,
    "recover-s": 12,
    "hold-max-ms": 1000,
    "stop-ms": 50,
    "gang-ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote-factor": 1.5,
    "checkpoint-s": 0.5,
    "restore-ms": 600,
    "notice-ms": 4500,
    "migrate-s": 1.5,
    "maintenance-s": 2,
    "fencing": true,
    "lease-ms": 3000,
    "thaw-ms": 300,
    "pace-ms": 100,
    "impact-ms": 4000,
    "resend-ms": 1300,
};

/**
 * Small deployment on loopback addresses: the system's own programs as separate processes, and stand-ins for the store
 * and the workers in this process. Settings are like those of the site vymena-brno.
 */
export class Deployment {
    entries = [];
    workers = [];
    relays = [];
    #programs = [];
    #version = 7;
    #store = new Store();
    #directory = mkdtempSync(join(tmpdir(), "waxwingshunt-review-"));
    #network;
    #recorder;
    #options;

    /**
     * `options`: `entries` and `workers` (numbers), `workOf` and `needOf` (of a task), `labelsOf` and `capacityOf` (of the
     * number of a worker), `heartbeatMs`, `timeoutMs` and `maxAttempts` (of the queue). With `ownProcesses` (`workMs` and
     * `need` of each task), each worker is a process of its own.
     */
    constructor(recorder, options) {
        this.#recorder = recorder;
        this.#options = options;
    }

    async start() {
        this.#network = await freeNetwork();
        await this.#store.listen(this.#address(1), PORTS.store);
        this.#store.put("op", "config", JSON.stringify(this.#manifest()));
        for (let number = 1; number <= this.#options.entries; number += 1) {
            this.#startEntry(number);
        }
        for (let number = 1; number <= this.#options.workers; number += 1) {
            await this.#startSide(number);
        }
        await this.waitUntilReady();
    }

    /** Kills every process of the system; each is started again after a short delay. */
    killAll() {
        this.#programs.forEach(program => program.signal("SIGKILL"));
    }

    /** Writes a newer manifest with the same route. */
    changeManifest() {
        this.#version += 3;
        this.#store.put("op", "config", JSON.stringify(this.#manifest()));
    }

    async close() {
        await Promise.all(this.#programs.map(program => program.close()));
        this.workers.forEach(worker => worker.close());
        this.relays.forEach(relay => relay.close());
        this.#store.close();
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.#directory, { recursive: true, force: true });
        }
        else {
            console.log(`logs in ${this.#directory}`);
        }
    }

    #address(number) {
        return `${this.#network}.${number}`;
    }

    #startEntry(number) {
        const ip = this.#address(10 + number);
        const name = `edge-${number}`;
        const front = `${ip}:${PORTS.front}`;
        const listen = { front, ready: `${ip}:${PORTS.ready}`, control: `${ip}:${PORTS.control}` };
        const program = new Program("entry", name, this.#settings(name, "edge", ip, { listen }), this.#directory);
        program.start();
        this.#programs.push(program);
        this.entries.push({ name, front, ready: listen.ready, program });
    }

    async #startSide(number) {
        const ip = this.#address(100 + number);
        const name = `side-${number}`;
        const app = `${ip}:${PORTS.app}`;
        const relay = new Relay({ host: ip, port: PORTS.app }, { host: ip, port: PORTS.behindRelay });
        await relay.open();
        const { workOf, needOf, labelsOf, capacityOf, heartbeatMs, ownProcesses } = this.#options;
        const options = {
            id: `i-${number}`,
            service: SERVICE,
            zone: "brno-stred",
            capacity: capacityOf(number),
            labels: labelsOf(number),
            listen: { host: ip, port: PORTS.behindRelay },
            address: app,
            control: { host: ip, port: PORTS.control },
            heartbeatMs,
        };
        const worker = ownProcesses === undefined
            ? new Worker({ ...options, workOf, needOf }, this.#recorder)
            : new RemoteWorker({ ...options, ...ownProcesses });
        await worker.start();
        const listen = { control: `${ip}:${PORTS.control}` };
        const own = { listen, app, service: SERVICE };
        const program = new Program("agent", name, this.#settings(name, "side", ip, own), this.#directory);
        program.start();
        this.#programs.push(program);
        this.relays.push(relay);
        this.workers.push(worker);
    }

    #settings(name, machineClass, ip, own) {
        const { entries, heartbeatMs } = this.#options;
        const seeds = Array.from({ length: Math.min(3, entries) }, (_, index) => {
            return `${this.#address(11 + index)}:${PORTS.control}`;
        });
        const store = `${this.#address(1)}:${PORTS.store}`;
        return {
            "node": name,
            "role": machineClass === "edge" ? "entry" : "agent",
            "machine-class": machineClass,
            "serves": machineClass === "edge" ? ["edge", "control"] : ["side"],
            "ip": ip,
            "zone": "brno-stred",
            "region": "jihomoravsky",
            "zones": { "brno-stred": "jihomoravsky" },
            "internal-ports": INTERNAL_PORTS,
            "seeds": seeds,
            "bootstrap": true,
            "counts-as-loss": false,
            "limits": { "cpu-share": 0.675, "cores": 1, "memory-mb": 350, "max-fds": 4100, "disk-mb": 0 },
            "data-dir": null,
            "discovery": "local",
            "entry": "vip",
            "heartbeat-ms": heartbeatMs,
            "bounds": BOUNDS,
            "control-mode": "invoke",
            "platform": { "addr": store, "form": "table", "writes-per-s": 800, "reads-per-s": 2000, "history-s": 20 },
            ...own,
        };
    }

    #manifest() {
        const { timeoutMs, maxAttempts } = this.#options;
        const route = {
            "name": "r-wrr6x73",
            "host": HOST,
            "prefix": PREFIX,
            "kind": "non_idempotent",
            "timeout-ms": timeoutMs,
            "target-completion-ms": 60,
            "priority": 0,
            "service": SERVICE,
            "max-attempts": maxAttempts,
            "stretch": 1.6,
        };
        const service = { "name": SERVICE, "health-path": "/healthz", "max-conns": 64, "enforces-capacity": true };
        return { version: this.#version, routes: [route], services: [service], limits: { "max-body-bytes": 262_144 } };
    }

    /** Resolves once every entry says that it is ready. */
    async waitUntilReady() {
        const until = Date.now() + START_TIMEOUT_MS;
        for (const { ready } of this.entries) {
            while (!await isReady(ready)) {
                if (Date.now() > until) {
                    throw new Error("an entry does not get ready");
                }
                await new Promise(resolve => setTimeout(resolve, 100));
            }
        }
    }
}

function isReady(address) {
    return new Promise(resolve => {
        const call = request(`http://${address}/waxwingshunt/readyz`, { agent: false, timeout: 1000 }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => resolve(false));
        call.end();
    });
}
