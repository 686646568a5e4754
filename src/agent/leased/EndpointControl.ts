import type { PollOutcome } from "./PollOutcome.js";
import type { RunList } from "./RunList.js";
import type { StartOutcome } from "./StartOutcome.js";
import type { StopOutcome } from "./StopOutcome.js";

/** What every call names: the life that is meant, and the fence of the agent process that calls. */
interface CallTarget {
    readonly endpoint: string;
    readonly fence: number;
    /** Longest wait for the answer in milliseconds. */
    readonly timeoutMs: number;
}

interface StartCall extends CallTarget {
    readonly task: string;
    readonly run: number;
    readonly spec: string;
    /** Time on the endpoint's clock; a start that takes effect later is rejected. */
    readonly untilMs: number;
}

interface StopCall extends CallTarget {
    readonly task: string;
    readonly run: number;
}

interface PollCall extends CallTarget {
    /** Extends the lease of everything that runs to this time on the endpoint's clock. */
    readonly untilMs: number | undefined;
    /** Ends up to this number are forgotten. */
    readonly acknowledged: number;
    /** The answer waits so long for an end, in whole milliseconds. */
    readonly waitMs: number;
}

/** Answer with the endpoint's clock in milliseconds, where the answer gave it. */
type Answer<O, T = object> = { readonly outcome: O; readonly clockMs: number | undefined; } & T;

/** Calls to the endpoint beside an agent. No method rejects: a call without an answer has an outcome of its own. */
export interface EndpointControl {
    start(call: StartCall): Promise<Answer<StartOutcome>>;
    stop(call: StopCall): Promise<Answer<StopOutcome>>;
    poll(call: PollCall): Promise<Answer<PollOutcome, { readonly list: RunList | undefined; }>>;
}
