import type { Random } from "../common/Random.js";
import type { EmulatedDeployment } from "./EmulatedDeployment.js";
import type { PlannedEndProfile } from "./PlannedEndProfile.js";
import type { TimeRange } from "./TimeRange.js";

/** Interval between two heartbeats of an endpoint. */
const HEARTBEAT_MS = 500;

/** Ends endpoints, agents and entries of a deployment as planned, and starts them again. */
export class PlannedEnds {
    /** Numbers of the endpoints that drain, or whose successors have not started. */
    private readonly leaving = new Set<number>();
    private readonly draining = new Set<number>();
    /** Numbers of the endpoints that have deregistered; they send no more heartbeats. */
    private readonly deregistered = new Set<number>();
    /** Numbers of the agents that are draining or stopped. */
    private readonly stopping = new Set<number>();
    private agentsStopping = false;

    constructor(
        private readonly deployment: EmulatedDeployment,
        private readonly profile: PlannedEndProfile,
        private readonly random: Random,
        private readonly nextBornMs: () => number,
        /** Called when an entry has ended, so that its callers notice. */
        private readonly handleEntryEnd: (entry: number) => void,
    ) {
        this.sendHeartbeats();
    }

    /** Whether the endpoint is about to end or has ended as planned. */
    public isLeaving(endpoint: number): boolean {
        return this.leaving.has(endpoint);
    }

    /** Begins the end of an endpoint, of some agents, of an entry, or of an endpoint together with its agent. */
    public begin(): void {
        const endpoint = this.pick(this.deployment.endpoints.length);
        switch (this.pick(4)) {
            case 0:
                this.leave(endpoint, false);
                return;
            case 1:
                void this.stopAgentsInSeries();
                return;
            case 2:
                this.killEntry(this.pick(this.deployment.entries.length));
                return;
            default:
                this.leave(endpoint, true);
        }
    }

    private leave(number: number, withAgent: boolean): void {
        if (this.leaving.has(number) || this.deployment.endpoints[number]?.up !== true) {
            return;
        }
        this.leaving.add(number);
        this.draining.add(number);
        this.sendHeartbeat(number);
        this.later(this.profile.drain, () => {
            this.deregistered.add(number);
            const received = this.deployment.deliverDeregistration(number);
            if (withAgent) {
                void this.restartAgent(number);
            }
            const { acknowledgedEnd, unacknowledgedEnd, lostAckShare } = this.profile;
            const acknowledged = received && this.random.next() >= lostAckShare;
            this.later(acknowledged ? acknowledgedEnd : unacknowledgedEnd, () => this.endEndpoint(number));
        });
    }

    private endEndpoint(number: number): void {
        const endpoint = this.deployment.endpoints[number];
        endpoint?.crash();
        this.later(this.profile.endpointDowntime, () => {
            const bornMs = this.nextBornMs();
            const keepsId = this.random.next() < 0.5;
            endpoint?.restart(bornMs, keepsId ? undefined : `endpoint-${number}-${bornMs}`);
            this.draining.delete(number);
            this.deregistered.delete(number);
            this.leaving.delete(number);
            this.sendHeartbeat(number);
        });
    }

    private async stopAgentsInSeries(): Promise<void> {
        if (this.agentsStopping) {
            return;
        }
        this.agentsStopping = true;
        const count = this.deployment.endpoints.length;
        const first = this.pick(count);
        for (let step = 0; step < this.profile.agentsInSeries; step += 1) {
            await this.restartAgent((first + step) % count);
            await new Promise<void>(resolve => {
                this.later(this.profile.agentSpacing, resolve);
            });
        }
        this.agentsStopping = false;
    }

    private async restartAgent(number: number): Promise<void> {
        if (this.stopping.has(number)) {
            return;
        }
        this.stopping.add(number);
        await this.deployment.stopAgent(number, this.draw(this.profile.agentGrace));
        this.later(this.profile.processDowntime, () => {
            this.deployment.startAgent(number);
            this.stopping.delete(number);
        });
    }

    private killEntry(number: number): void {
        const up = this.deployment.entries.filter((_, entry) => this.deployment.isEntryUp(entry));
        if (up.length < 2 || !this.deployment.isEntryUp(number)) {
            return;
        }
        this.deployment.stopEntry(number);
        this.handleEntryEnd(number);
        this.later(this.profile.processDowntime, () => this.deployment.startEntry(number));
    }

    private sendHeartbeats(): void {
        this.deployment.endpoints.forEach((_, number) => this.sendHeartbeat(number));
        this.deployment.clock.schedule(HEARTBEAT_MS, () => this.sendHeartbeats());
    }

    private sendHeartbeat(number: number): void {
        const endpoint = this.deployment.endpoints[number];
        if (endpoint?.up === true && !this.deregistered.has(number)) {
            const sequence = Math.floor(this.deployment.clock.now()) + 2;
            this.deployment.deliverHeartbeat(number, endpoint.life.bornMs, sequence, this.draining.has(number));
        }
    }

    private later(range: TimeRange, action: () => void): void {
        this.deployment.clock.schedule(this.draw(range), action);
    }

    private draw({ leastMs, mostMs }: TimeRange): number {
        return leastMs + this.random.next() * (mostMs - leastMs);
    }

    private pick(count: number): number {
        return Math.floor(this.random.next() * count);
    }
}
