import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import type { AgentSession } from "./AgentSession.js";
import type { Dialer } from "./Dialer.js";
import { hasTerminated } from "./hasTerminated.js";

/** Delay between the first two probes of a disconnected agent; it doubles with each further probe. */
const FIRST_PROBE_INTERVAL_MS = 1000;

/** Limit of the delay. Probing each second opened 9 idle connections in 9 s per agent that had changed its home. */
const MAX_PROBE_INTERVAL_MS = 10_000;

/** Probing of an agent ends after this time; jobs that wait for the agent end by their own deadlines. */
const PROBE_LIMIT_MS = 600_000;

/** Probes agents whose connection was lost, until they reattach, have certainly ended, or the time limit is reached. */
export class AgentProbes implements Disposable {
    private readonly cancels = new Map<string, () => void>();
    private readonly terminations = new Emitter<AgentSession>();

    /** Fires when the agent's process has certainly ended. */
    public readonly onTerminated = this.terminations.event;

    constructor(private readonly clock: Clock, private readonly dial: Dialer) {}

    /** True while the agent incarnation is probed and may still reattach. */
    public isProbing(agent: string): boolean {
        return this.cancels.has(agent);
    }

    public start(session: AgentSession): void {
        this.schedule(session, 0, this.clock.now() + PROBE_LIMIT_MS);
    }

    public stop(agent: string): void {
        this.cancels.get(agent)?.();
        this.cancels.delete(agent);
    }

    public dispose(): void {
        for (const cancel of this.cancels.values()) {
            cancel();
        }
        this.cancels.clear();
        this.terminations.dispose();
    }

    private schedule(session: AgentSession, delayMs: number, until: number): void {
        const agent = session.peer.incarnation;
        if (this.clock.now() >= until) {
            this.cancels.delete(agent);
            return;
        }
        const cancel = this.clock.schedule(delayMs, () => {
            void hasTerminated(this.dial, session.peer).then(terminated => {
                if (this.cancels.get(agent) !== cancel) {
                    return;
                }
                if (terminated) {
                    this.cancels.delete(agent);
                    this.terminations.fire(session);
                }
                else {
                    const nextMs = Math.max(FIRST_PROBE_INTERVAL_MS, Math.min(MAX_PROBE_INTERVAL_MS, 2 * delayMs));
                    this.schedule(session, nextMs, until);
                }
            });
        });
        this.cancels.set(agent, cancel);
    }
}
