import { request } from "undici";
import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { EndpointSettings } from "../common/settings/EndpointSettings.js";
import { EndpointEvent } from "./EndpointEvent.js";
import type { Faults } from "./Faults.js";
import { TaskServer } from "./TaskServer.js";

/** The announcement is repeated so that an agent that restarted, or that withdrew the endpoint as dead, learns of it. */
const ANNOUNCE_INTERVAL_MS = 1000;

const AGENT_TIMEOUT_MS = 1000;
const DRAIN_POLL_MS = 20;

/** Stand-in for an endpoint of a service: waits for the run time of each task and injects faults. */
export class Endpoint implements RunningRole {
    private cancelAnnounce: () => void = () => undefined;
    private leaving = false;
    private announced = false;
    private announcing: Promise<void> = Promise.resolve();

    private constructor(
        private readonly settings: EndpointSettings,
        private readonly runtime: Runtime,
        private readonly faults: Faults,
        private readonly tasks: TaskServer,
    ) {}

    /** Listens and announces itself once; an announcement that fails is repeated in the background. */
    public static async start(settings: EndpointSettings, runtime: Runtime): Promise<Endpoint> {
        const { speed, failureShare, silentShare, stragglerShare, stragglerFactor } = settings;
        const faults: Faults = { speed, failureShare, silentShare, stragglerShare, stragglerFactor };
        const tasks = await TaskServer.listen(settings.http, faults, new SeededRandom(settings.seed), runtime);
        const endpoint = new Endpoint(settings, runtime, faults, tasks);
        runtime.log.write(EndpointEvent.Started, { port: tasks.port, service: settings.service });
        await endpoint.keepAnnounced();
        return endpoint;
    }

    public get port(): number {
        return this.tasks.port;
    }

    /** Starts by `issuer/sequence/task`; a count above 1 is a task that started twice. */
    public get starts(): ReadonlyMap<string, number> {
        return this.tasks.starts;
    }

    /** Tasks running now. */
    public get running(): number {
        return this.tasks.running.length;
    }

    public set speed(value: number) {
        this.faults.speed = value;
    }

    public set failureShare(value: number) {
        this.faults.failureShare = value;
    }

    public set silentShare(value: number) {
        this.faults.silentShare = value;
    }

    public async drain(limitMs: number): Promise<readonly string[]> {
        const { clock, log } = this.runtime;
        const end = clock.now() + limitMs;
        this.leaving = true;
        this.cancelAnnounce();
        // An announcement on its way must not arrive after the withdrawal.
        await this.announcing;
        const fault = await this.callAgent("DELETE");
        log.write(fault === undefined ? EndpointEvent.Withdrawn : EndpointEvent.WithdrawalFailed, { reason: fault });
        this.tasks.refuseNew();
        while (this.running > 0 && clock.now() < end) {
            await new Promise<void>(resolve => {
                clock.schedule(DRAIN_POLL_MS, resolve);
            });
        }
        return this.tasks.running.map(name => `task ${name} is still running`);
    }

    public async dispose(): Promise<void> {
        this.leaving = true;
        this.cancelAnnounce();
        await this.tasks.dispose();
    }

    private keepAnnounced(): Promise<void> {
        this.announcing = this.announce();
        return this.announcing;
    }

    private async announce(): Promise<void> {
        const { service, slots, connections, http } = this.settings;
        const url = `http://${http.host}:${this.port}/`;
        const fault = await this.callAgent("POST", { service, url, slots, connections });
        if (this.leaving) {
            return;
        }
        if (fault !== undefined) {
            this.runtime.log.write(EndpointEvent.AnnouncementFailed, { reason: fault });
        }
        else if (!this.announced) {
            this.runtime.log.write(EndpointEvent.Announced, { url });
        }
        this.announced = fault === undefined;
        this.cancelAnnounce = this.runtime.clock.schedule(ANNOUNCE_INTERVAL_MS, () => {
            void this.keepAnnounced();
        });
    }

    /** Calls the agent's announcement interface; returns the reason when that fails. */
    private async callAgent(method: "POST" | "DELETE", body?: object): Promise<string | undefined> {
        try {
            const response = await request(new URL("/v1/endpoint", this.settings.agent), {
                method,
                headers: { "content-type": "application/json" },
                body: body === undefined ? null : JSON.stringify(body),
                headersTimeout: AGENT_TIMEOUT_MS,
                bodyTimeout: AGENT_TIMEOUT_MS,
            });
            const text = await response.body.text();
            return response.statusCode === 200 ? undefined : `status ${response.statusCode}: ${text}`;
        }
        catch (error) {
            return String(error);
        }
    }
}
