import type { Log } from "../../common/log/Log.js";
import { LeaseEvent } from "./LeaseEvent.js";

/**
 * Step by which the fence is raised when the endpoint has seen a higher one, for example after the VM's wall clock was
 * set back.
 */
const REJECTED_STEP = 1_000_000;

/** Fence of this agent process in its calls to the endpoint, which rejects calls with a lower one than it has seen. */
export class EndpointFence {
    constructor(private current: number, private readonly log: Log) {}

    public get value(): number {
        return this.current;
    }

    /** Raises the fence, so that calls sent before have no effect in an incarnation that has seen a later one. */
    public advance(): void {
        this.current += 1;
    }

    /** Raises the fence after the endpoint has rejected `refused`, unless it has been raised since. */
    public raise(refused: number): void {
        if (this.current === refused) {
            this.current += REJECTED_STEP;
            this.log.write(LeaseEvent.FenceRaised, { fence: this.current });
        }
    }

    /**
     * Raises the fence after a start with the fence `sent` was not answered: the first call that any incarnation of the
     * endpoint executes from then on prevents that the start still takes effect there.
     */
    public outdate(sent: number): void {
        if (this.current === sent) {
            this.current += 1;
        }
    }
}
