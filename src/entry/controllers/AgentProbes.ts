import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import type { AgentSession } from "./AgentSession.js";
import type { Dialer } from "./Dialer.js";
import { isGone } from "./isGone.js";

/** Time from the first probe of a lost agent to the second; it doubles with each further probe. */
const FIRST_PROBE_INTERVAL_MS = 1000;

/** One probe a second for every agent that moved to another home was 9 connections per agent in 9 s at rest. */
const MAX_PROBE_INTERVAL_MS = 10_000;

/** Probes of a lost agent end after this time; jobs that wait for it end by their own deadlines. */
const PROBE_LIMIT_MS = 600_000;

/** Looks whether agents whose connection was lost still live, until they attach again or have certainly ended. */
export class AgentProbes implements Disposable {
    private readonly cancels = new Map<string, () => void>();
    private readonly ends = new Emitter<AgentSession>();

    /** Fires when the agent's process has certainly ended. */
    public readonly onGone = this.ends.event;

    constructor(private readonly clock: Clock, private readonly dial: Dialer) {}

    /** True while the agent incarnation may come back. */
    public has(agent: string): boolean {
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
        this.ends.dispose();
    }

    private schedule(session: AgentSession, delayMs: number, until: number): void {
        const agent = session.peer.incarnation;
        if (this.clock.now() >= until) {
            this.cancels.delete(agent);
            return;
        }
        const cancel = this.clock.schedule(delayMs, () => {
            void isGone(this.dial, session.peer).then(gone => {
                if (this.cancels.get(agent) !== cancel) {
                    return;
                }
                if (gone) {
                    this.cancels.delete(agent);
                    this.ends.fire(session);
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
