import { request } from "undici";
import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { EndpointSettings } from "../common/settings/EndpointSettings.js";
import { EndpointEvent } from "./EndpointEvent.js";
import type { InjectedFaults } from "./InjectedFaults.js";
import { TaskServer } from "./TaskServer.js";

/** Announcements are repeated, so that an agent that restarted or withdrew the endpoint as dead registers it again. */
const ANNOUNCE_INTERVAL_MS = 1000;

const AGENT_TIMEOUT_MS = 1000;
const DRAIN_POLL_MS = 20;

/** Stub for an endpoint of a service: a task is a timer of its run time, and faults can be injected. */
export class Endpoint implements RunningRole {
    private cancelAnnounce: () => void = () => undefined;
    private announcementsStopped = false;
    private announced = false;
    private announcing: Promise<void> = Promise.resolve();

    private constructor(
        private readonly settings: EndpointSettings,
        private readonly runtime: Runtime,
        private readonly faults: InjectedFaults,
        private readonly tasks: TaskServer,
    ) {}

    /** Listens and announces itself to the agent; announcements are repeated in the background, also after failures. */
    public static async start(settings: EndpointSettings, runtime: Runtime): Promise<Endpoint> {
        const { speed, failureShare, silentShare, stragglerShare, stragglerFactor } = settings;
        const faults: InjectedFaults = { speed, failureShare, silentShare, stragglerShare, stragglerFactor };
        const tasks = await TaskServer.listen(settings.http, faults, new SeededRandom(settings.seed), runtime);
        const endpoint = new Endpoint(settings, runtime, faults, tasks);
        runtime.log.write(EndpointEvent.Started, { port: tasks.port, service: settings.service });
        await endpoint.startAnnouncement();
        return endpoint;
    }

    public get port(): number {
        return this.tasks.port;
    }

    /** Number of starts by `issuer/sequence/task`; above 1 the task was started more than once. */
    public get starts(): ReadonlyMap<string, number> {
        return this.tasks.starts;
    }

    /** Number of running tasks. */
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
        this.announcementsStopped = true;
        this.cancelAnnounce();
        // An announcement in flight must not arrive after the withdrawal.
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
        this.announcementsStopped = true;
        this.cancelAnnounce();
        await this.tasks.dispose();
    }

    private startAnnouncement(): Promise<void> {
        this.announcing = this.announce();
        return this.announcing;
    }

    private async announce(): Promise<void> {
        const { service, slots, connections, http } = this.settings;
        const url = `http://${http.host}:${this.port}/`;
        const fault = await this.callAgent("POST", { service, url, slots, connections });
        if (this.announcementsStopped) {
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
            void this.startAnnouncement();
        });
    }

    /** Calls the agent's announcement API; returns the reason of a failure, or undefined. */
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
