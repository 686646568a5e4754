import type { Clock } from "../../common/Clock.js";
import type { EndpointSession } from "./EndpointSession.js";
import { StopOutcome } from "./StopOutcome.js";

/** Timeout for the response to a stop. */
const STOP_TIMEOUT_MS = 100;

/** Sends single stops to the endpoint. */
export class StopCalls {
    constructor(private readonly session: EndpointSession, private readonly clock: Clock) {}

    /** Stops the runs of a task up to the number `run`. */
    public async send(task: string, run: number): Promise<StopOutcome> {
        const fence = this.session.fence;
        const { report } = this.session;
        const endpoint = report?.life.id ?? "";
        const sentAt = this.clock.now();
        const response = await this.session.control.stop({ endpoint, fence, task, run, timeoutMs: STOP_TIMEOUT_MS });
        if (response.outcome !== StopOutcome.OtherIncarnation) {
            this.session.observeClock(response.clockMs, sentAt, report);
        }
        if (response.outcome === StopOutcome.Fenced) {
            this.session.raiseFence(fence);
        }
        return response.outcome;
    }
}
