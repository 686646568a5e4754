import type { EndpointControl } from "../agent/leased/EndpointControl.js";
import { PollOutcome } from "../agent/leased/PollOutcome.js";
import { StartOutcome } from "../agent/leased/StartOutcome.js";
import { StopOutcome } from "../agent/leased/StopOutcome.js";
import type { EmulatedProcess } from "./EmulatedProcess.js";

/** Calls that one agent process sends to its endpoint. Calls that it has sent may arrive after its end. */
export class ProcessEndpointControl implements EndpointControl {
    private ended = false;

    constructor(private readonly endpoint: EndpointControl, private readonly process: EmulatedProcess) {}

    /** Ends the process: it sends no more calls. */
    public end(): void {
        this.ended = true;
    }

    public start(call: Parameters<EndpointControl["start"]>[0]): ReturnType<EndpointControl["start"]> {
        const unanswered = { outcome: StartOutcome.Unanswered, clockMs: undefined };
        return this.call(() => this.endpoint.start(call), call.timeoutMs, unanswered);
    }

    public stop(call: Parameters<EndpointControl["stop"]>[0]): ReturnType<EndpointControl["stop"]> {
        const unanswered = { outcome: StopOutcome.Unanswered, clockMs: undefined };
        return this.call(() => this.endpoint.stop(call), call.timeoutMs, unanswered);
    }

    public poll(call: Parameters<EndpointControl["poll"]>[0]): ReturnType<EndpointControl["poll"]> {
        const unanswered = { outcome: PollOutcome.Unanswered, clockMs: undefined, list: undefined };
        return this.call(() => this.endpoint.poll(call), call.timeoutMs, unanswered);
    }

    private call<T>(execute: () => Promise<T>, timeoutMs: number, unanswered: T): Promise<T> {
        return this.ended ? unsent() : this.process.call(execute, timeoutMs, unanswered);
    }
}

function unsent(): Promise<never> {
    return new Promise(() => undefined);
}
