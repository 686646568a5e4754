import type { EndpointControl } from "../agent/leased/EndpointControl.js";
import { EndpointRuns } from "../agent/leased/EndpointRuns.js";
import { EndpointSession } from "../agent/leased/EndpointSession.js";
import type { StartOutcome } from "../agent/leased/StartOutcome.js";
import { LEASE_TIMES } from "../common/leased/LEASE_TIMES.js";
import type { Resources } from "../common/leased/Resources.js";
import type { RunCompletion } from "../common/leased/RunCompletion.js";
import type { Log } from "../common/log/Log.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { VirtualClock } from "../common/VirtualClock.js";
import { CallDelivery } from "./CallDelivery.js";
import { EmulatedEndpoint } from "./EmulatedEndpoint.js";
import type { EndpointCallKind } from "./EndpointCallKind.js";

const JOB = "00000000000000aa";
const TASK_CPU = 6000;
const ANNOUNCED_CAPACITY: Resources = { cpu: 64_000, memoryMb: 1000, gpu: 0 };

/** Round trip of a start that is rejected. */
const ROUND_TRIP_MS = 4;

/** Time until the agent knows the endpoint's clock and its run list. */
const WARMUP_MS = 500;

interface EmulatedRunsOptions {
    /** Capacity that the endpoint has; it announces the default. */
    readonly capacity?: Resources;
    /** Run time of the task. */
    readonly runMs?: number;
    readonly deliveryOf?: (call: EndpointCallKind) => CallDelivery;
    /** Time until a delayed call is executed; such calls outlive the incarnation that they were sent to. */
    readonly deliveryDelayMs?: number;
    /** Outcome with which the endpoint answers a start without executing it; undefined when it executes it. */
    readonly rejectionOf?: (run: number) => StartOutcome | undefined;
    /** Whether a crash resets the connections of waiting polls, as by default; otherwise they get a last list. */
    readonly resetsConnectionsAtCrash?: boolean;
    readonly log?: Log;
}

/** Runs of one agent at one emulated endpoint, on a virtual clock and without entries. */
export class EmulatedRuns {
    public readonly clock = new VirtualClock();
    public readonly endpoint: EmulatedEndpoint;
    public readonly session: EndpointSession;
    public readonly runs: EndpointRuns;
    /** Name of the task that `order` orders. */
    public readonly task = `${JOB}.0.0.0`;
    /** Reported ends of runs so far. */
    public readonly completions: RunCompletion[] = [];

    constructor(options: EmulatedRunsOptions) {
        const { runMs = 300, deliveryOf = () => CallDelivery.Answered, deliveryDelayMs, log = new SilentLog() } =
            options;
        this.endpoint = new EmulatedEndpoint(this.clock, {
            id: "endpoint",
            bornMs: 1,
            capacity: options.capacity ?? ANNOUNCED_CAPACITY,
            work: () => ({ ms: runMs, how: "done" }),
            cpuOf: () => TASK_CPU,
            deliveryOf,
            acceptsCallsToEarlierIncarnations: true,
            refusesWhileDown: true,
            resetsConnectionsAtCrash: options.resetsConnectionsAtCrash ?? true,
            ...(deliveryDelayMs === undefined ? {} : { deliveryDelayMs: () => deliveryDelayMs }),
        });
        this.session = new EndpointSession(this.controlOf(options), this.clock, log, 1);
        this.runs = new EndpointRuns(this.session, this.clock, log);
        this.runs.onCompletion(({ completion }) => this.completions.push(completion));
    }

    /** Number of runs that are at the endpoint now. */
    public get runningCount(): number {
        return this.endpoint.records.filter(({ to }) => to === undefined).length;
    }

    /** Delivers the first heartbeat of the endpoint's current incarnation. */
    public announce(): void {
        this.session.handleHeartbeat({
            life: this.endpoint.life,
            service: "service",
            capacity: ANNOUNCED_CAPACITY,
            labels: [],
            draining: false,
            sequence: 1,
        });
    }

    /** Announces the endpoint to the agent and waits until it can be given work. */
    public async warmUp(): Promise<void> {
        this.announce();
        await this.advance(WARMUP_MS);
    }

    /** Orders the task for `owner`, with a start window from now on. */
    public order(owner = "entry"): void {
        this.runs.acceptOrder(owner, {
            kind: "run",
            order: 1,
            job: JOB,
            spec: "",
            need: { cpu: TASK_CPU, memoryMb: 1, gpu: 0 },
            estimateMs: 300,
            tenureUntilMs: 0,
            startBeforeMs: (this.session.clockMs ?? 0) + LEASE_TIMES.START_WINDOW_MS,
            tasks: [{ name: this.task, run: 1 }],
        });
    }

    /** Advances the clock in steps, between which promises settle. */
    public async advance(ms: number): Promise<void> {
        for (let passed = 0; passed < ms; passed += 1) {
            this.clock.advance(1);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    public dispose(): void {
        this.session.dispose();
        this.runs.dispose();
    }

    private controlOf({ rejectionOf }: EmulatedRunsOptions): EndpointControl {
        const { endpoint, clock } = this;
        return {
            start: call => {
                const outcome = rejectionOf?.(call.run);
                if (outcome === undefined) {
                    return endpoint.start(call);
                }
                return new Promise(resolve =>
                    clock.schedule(ROUND_TRIP_MS, () => resolve({ outcome, clockMs: undefined }))
                );
            },
            stop: call => endpoint.stop(call),
            poll: call => endpoint.poll(call),
        };
    }
}
