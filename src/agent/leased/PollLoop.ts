import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import type { EndpointLiveness } from "./EndpointLiveness.js";
import type { EndpointPolls } from "./EndpointPolls.js";
import type { IncarnationTracker } from "./IncarnationTracker.js";
import { POLL_TIMES } from "./POLL_TIMES.js";
import type { RunList } from "./RunList.js";

/** Polls the endpoint again and again while it is known. */
export class PollLoop implements Disposable {
    private polling = false;
    private disposed = false;
    private hasRuns = (): boolean => false;

    constructor(
        private readonly incarnations: IncarnationTracker,
        private readonly polls: EndpointPolls,
        private readonly liveness: EndpointLiveness,
        private readonly clock: Clock,
    ) {}

    /** Sets the function that returns whether an endpoint that leaves is still polled. */
    public setHasRuns(hasRuns: () => boolean): void {
        this.hasRuns = hasRuns;
    }

    /** Starts polling, unless it goes on already or no endpoint is known. */
    public start(): void {
        if (!this.polling && this.isWanted) {
            this.polling = true;
            void this.run();
        }
    }

    public dispose(): void {
        this.disposed = true;
    }

    private get isWanted(): boolean {
        return !this.disposed && this.incarnations.report !== undefined;
    }

    private async run(): Promise<void> {
        while (this.isWanted) {
            const sentAt = this.clock.now();
            // The next incarnation of a lost endpoint would hold a poll back until one of its runs ends.
            const list = await this.polls.poll(this.liveness.isLost ? 0 : POLL_TIMES.WAIT_MS);
            this.forgetDeparted(list);
            const pauseMs = this.delayAfter(list, sentAt);
            if (pauseMs > 0) {
                await this.pause(pauseMs);
            }
        }
        this.polling = false;
    }

    /** Forgets an endpoint that has deregistered, once it is lost or lists no runs and none are expected. */
    private forgetDeparted(list: RunList | undefined): void {
        const isIdle = this.liveness.isLost || list?.running.length === 0;
        if (this.incarnations.isLeaving && isIdle && !this.hasRuns()) {
            this.incarnations.forgetEndpoint("endpoint deregistered");
        }
    }

    /**
     * Time until the poll after one that was sent at `sentAt`. A poll after a list with finished runs is delayed: runs
     * that end at about the same time are then listed together.
     */
    private delayAfter(list: RunList | undefined, sentAt: number): number {
        if (list === undefined) {
            return this.liveness.retryIntervalMs - (this.clock.now() - sentAt);
        }
        return list.finished.length > 0 ? POLL_TIMES.COLLECT_DELAY_MS : 0;
    }

    private pause(ms: number): Promise<void> {
        return new Promise(resolve => {
            this.clock.schedule(ms, resolve);
        });
    }
}
