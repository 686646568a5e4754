import type { Clock } from "../../common/Clock.js";
import { EndpointClockEstimate } from "./EndpointClockEstimate.js";
import type { RunList } from "./RunList.js";

/** What the responses of the current incarnation have shown: its clock, its newest list and its finished runs. */
export class IncarnationState {
    private readonly clockEstimate: EndpointClockEstimate;
    private acknowledgedNumber = 0;
    /** Endpoint's clock at the newest run list. */
    private listedMs = 0;

    constructor(clock: Clock) {
        this.clockEstimate = new EndpointClockEstimate(clock);
    }

    /** Estimate of the endpoint's clock in milliseconds; undefined before its first response. */
    public get clockMs(): number | undefined {
        return this.clockEstimate.now();
    }

    /** Highest number of a finished run that was handled. */
    public get acknowledged(): number {
        return this.acknowledgedNumber;
    }

    /** Updates the estimate of the clock with that of the response to a call sent at `sentAt`. */
    public observeClock(clockMs: number | undefined, sentAt: number): void {
        this.clockEstimate.observe(clockMs, sentAt);
    }

    /** Records the clock of a run list. Returns false when a newer list was recorded before. */
    public recordList(clockMs: number | undefined): boolean {
        if (clockMs !== undefined && clockMs < this.listedMs) {
            return false;
        }
        this.listedMs = clockMs ?? this.listedMs;
        return true;
    }

    /** Acknowledges the finished runs of a list that was handled. */
    public acknowledge(list: RunList): void {
        const numbers = list.finished.map(finished => finished.number);
        this.acknowledgedNumber = Math.max(this.acknowledgedNumber, ...numbers);
    }

    /** Discards what was observed of an earlier incarnation. */
    public reset(): void {
        this.acknowledgedNumber = 0;
        this.listedMs = 0;
        this.clockEstimate.reset();
    }
}
