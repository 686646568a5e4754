import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import type { EndpointControl } from "./EndpointControl.js";
import type { EndpointFence } from "./EndpointFence.js";
import type { EndpointLiveness } from "./EndpointLiveness.js";
import type { IncarnationState } from "./IncarnationState.js";
import type { IncarnationTracker } from "./IncarnationTracker.js";
import { PollOutcome } from "./PollOutcome.js";
import type { RunList } from "./RunList.js";
import type { SentPoll } from "./SentPoll.js";

/** Run list with the time at which its poll was sent; the list is at least as recent. */
interface TimedRunList {
    readonly list: RunList;
    readonly sentAt: number;
}

type PollResponse = Awaited<ReturnType<EndpointControl["poll"]>>;

/** Handles the responses to polls: run lists, and failures that may show that the endpoint is lost. */
export class PollResponses implements Disposable {
    private readonly lists = new Emitter<TimedRunList>();

    /** Fires with each run list. */
    public readonly onList = this.lists.event;

    constructor(
        private readonly incarnations: IncarnationTracker,
        private readonly fence: EndpointFence,
        private readonly state: IncarnationState,
        private readonly liveness: EndpointLiveness,
    ) {}

    /**
     * Handles a response and returns its list; undefined without a list, or when it does not count: it is outdated, or
     * was requested before the endpoint was known to be the incarnation that answers.
     */
    public handle(poll: SentPoll, response: PollResponse): RunList | undefined {
        const { target } = poll;
        const isExpected = this.incarnations.isAnnounced(target) || this.incarnations.isCurrent(target);
        if (response.outcome === PollOutcome.Listed && response.list !== undefined) {
            const bornMs = response.list.bornMs ?? target.life.bornMs;
            const answering = { ...target, life: { ...target.life, bornMs } };
            const isKnown = isExpected || this.incarnations.isCurrent(answering);
            const isListed = isKnown && this.incarnations.identify(answering, poll);
            return isListed ? this.handleList(response.list, poll.sentAt, response.clockMs) : undefined;
        }
        if (isExpected) {
            this.handleFailure(poll, response);
        }
        return undefined;
    }

    public dispose(): void {
        this.lists.dispose();
    }

    /** Handles a run list and returns it; undefined when a newer one has been handled before. */
    private handleList(list: RunList, sentAt: number, clockMs: number | undefined): RunList | undefined {
        this.state.observeClock(clockMs, sentAt);
        this.incarnations.confirm();
        this.liveness.recordAnswer(this.incarnations.report);
        if (!this.state.recordList(clockMs)) {
            return undefined;
        }
        this.lists.fire({ list, sentAt });
        this.state.acknowledge(list);
        return list;
    }

    private handleFailure(poll: SentPoll, { outcome, clockMs }: PollResponse): void {
        const isOther = outcome === PollOutcome.OtherIncarnation;
        if (isOther && this.incarnations.isAnnounced(poll.target)) {
            this.incarnations.refuteAnnouncement("an incarnation with another id answers");
            if (poll.target.life.id !== this.incarnations.report?.life.id) {
                return;
            }
        }
        if (!isOther && !poll.announced) {
            this.state.observeClock(clockMs, poll.sentAt);
        }
        this.liveness.recordFailedPoll(poll.target, outcome);
        if (outcome === PollOutcome.Fenced) {
            this.fence.raise(poll.fence);
            return;
        }
        const reason = this.lossReasonOf(poll, outcome);
        if (reason !== undefined) {
            this.liveness.markLost(this.incarnations.report, reason);
        }
    }

    /** Why the endpoint counts as lost after a failed poll; undefined while it does not. */
    private lossReasonOf(poll: SentPoll, outcome: PollOutcome): string | undefined {
        if (this.liveness.refusedBefore(poll.sentAt) && !this.incarnations.isEndingAsPlanned) {
            return "connection refused";
        }
        if (outcome === PollOutcome.OtherIncarnation) {
            return "another incarnation answers";
        }
        return this.liveness.hasLeaseExpired ? "endpoint lease expired without a response" : undefined;
    }
}
