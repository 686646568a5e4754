import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import type { EndpointControl } from "./EndpointControl.js";
import type { EndpointFence } from "./EndpointFence.js";
import type { EndpointLease } from "./EndpointLease.js";
import type { IncarnationState } from "./IncarnationState.js";
import type { IncarnationTracker } from "./IncarnationTracker.js";
import { POLL_TIMES } from "./POLL_TIMES.js";
import { PollOutcome } from "./PollOutcome.js";
import type { PollResponses } from "./PollResponses.js";
import type { RunList } from "./RunList.js";

/** Sends single polls, which renew the endpoint lease, and passes on the responses. */
export class EndpointPolls implements Disposable {
    private readonly leaseRenewals = new Emitter<undefined>();
    private disposed = false;

    /** Fires before each poll, which may renew the endpoint lease. */
    public readonly onRenewal = this.leaseRenewals.event;

    constructor(
        private readonly control: EndpointControl,
        private readonly incarnations: IncarnationTracker,
        private readonly state: IncarnationState,
        private readonly fence: EndpointFence,
        private readonly lease: EndpointLease,
        private readonly responses: PollResponses,
        private readonly clock: Clock,
    ) {}

    /**
     * Polls the announced incarnation, or else the current one, and returns the list of the one that is then current;
     * undefined without a list, or when it was requested before the endpoint was known to be that incarnation. The
     * endpoint holds its response back for `waitMs` at most, until a run ends.
     */
    public async poll(waitMs: number): Promise<RunList | undefined> {
        const target = this.incarnations.announcedReport ?? this.incarnations.report;
        if (target === undefined || this.disposed) {
            return undefined;
        }
        this.leaseRenewals.fire(undefined);
        const announced = this.incarnations.isAnnounced(target);
        const sentAt = this.clock.now();
        const fence = this.fence.value;
        // The clock and the acknowledged runs are those of the current incarnation.
        const clockMs = announced ? undefined : this.state.clockMs;
        const begun = this.lease.beginPoll(clockMs);
        const response = await this.control.poll({
            endpoint: target.life.id,
            fence,
            untilMs: begun?.untilMs,
            acknowledged: announced ? 0 : this.state.acknowledged,
            waitMs: clockMs === undefined ? 0 : waitMs,
            timeoutMs: waitMs + POLL_TIMES.SLACK_MS,
        });
        if (begun !== undefined) {
            this.lease.settle(begun.renewal, response.outcome === PollOutcome.Unreachable);
        }
        return this.responses.handle({ target, announced, fence, sentAt }, response);
    }

    /** Sends no polls from now on; responses to earlier ones are still handled. */
    public dispose(): void {
        this.disposed = true;
        this.leaseRenewals.dispose();
    }
}
