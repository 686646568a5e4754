import type { PollOutcome } from "./PollOutcome.js";
import type { RunList } from "./RunList.js";
import type { StartOutcome } from "./StartOutcome.js";
import type { StopOutcome } from "./StopOutcome.js";

/** Fields of every call: the endpoint that is meant, and the fence of the calling agent process. */
interface CallTarget {
    readonly endpoint: string;
    readonly fence: number;
    /** Timeout for the response, in milliseconds. */
    readonly timeoutMs: number;
}

interface StartCall extends CallTarget {
    readonly task: string;
    readonly run: number;
    readonly spec: string;
    /** Time on the endpoint's clock after which the start is rejected. */
    readonly untilMs: number;
}

interface StopCall extends CallTarget {
    readonly task: string;
    readonly run: number;
}

interface PollCall extends CallTarget {
    /** Renews the endpoint lease until this time on the endpoint's clock; undefined renews nothing. */
    readonly untilMs: number | undefined;
    /** Acknowledges the finished runs up to this number; the endpoint then no longer lists them. */
    readonly acknowledged: number;
    /** How long the endpoint holds its response back until a run ends, in whole milliseconds. */
    readonly waitMs: number;
}

/** Response with the endpoint's clock in milliseconds; undefined when the response lacks it. */
type EndpointResponse<O, T = object> = { readonly outcome: O; readonly clockMs: number | undefined; } & T;

/** Calls to the endpoint on the agent's VM. No method rejects: a call without a response has an outcome of its own. */
export interface EndpointControl {
    start(call: StartCall): Promise<EndpointResponse<StartOutcome>>;
    stop(call: StopCall): Promise<EndpointResponse<StopOutcome>>;
    poll(call: PollCall): Promise<EndpointResponse<PollOutcome, { readonly list: RunList | undefined; }>>;
}
