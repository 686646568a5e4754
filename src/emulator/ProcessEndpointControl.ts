import type { EndpointControl } from "../agent/leased/EndpointControl.js";

/** Calls that one agent process sends to its endpoint. Calls that it has sent may arrive after its end. */
export class ProcessEndpointControl implements EndpointControl {
    private ended = false;

    constructor(private readonly endpoint: EndpointControl) {}

    /** Ends the process: it sends no more calls. */
    public end(): void {
        this.ended = true;
    }

    public start(call: Parameters<EndpointControl["start"]>[0]): ReturnType<EndpointControl["start"]> {
        return this.ended ? unsent() : this.endpoint.start(call);
    }

    public stop(call: Parameters<EndpointControl["stop"]>[0]): ReturnType<EndpointControl["stop"]> {
        return this.ended ? unsent() : this.endpoint.stop(call);
    }

    public poll(call: Parameters<EndpointControl["poll"]>[0]): ReturnType<EndpointControl["poll"]> {
        return this.ended ? unsent() : this.endpoint.poll(call);
    }
}

function unsent(): Promise<never> {
    return new Promise(() => undefined);
}
