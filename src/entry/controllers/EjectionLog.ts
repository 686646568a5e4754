import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import type { Log } from "../../common/log/Log.js";
import { EntryEvent } from "../EntryEvent.js";
import type { Scheduler } from "../policy/Scheduler.js";

const CHECK_INTERVAL_MS = 1000;

/** Logs when a scheduler ejects an agent, and when the ejection ends. */
export class EjectionLog implements Disposable {
    private readonly watched = new Map<Scheduler, ReadonlySet<string>>();
    private cancel: () => void = () => undefined;

    constructor(private readonly clock: Clock, private readonly log: Log) {
        this.schedule();
    }

    public watch(scheduler: Scheduler): void {
        this.watched.set(scheduler, new Set());
    }

    public dispose(): void {
        this.cancel();
        this.watched.clear();
    }

    private schedule(): void {
        this.cancel = this.clock.schedule(CHECK_INTERVAL_MS, () => {
            this.schedule();
            this.check();
        });
    }

    private check(): void {
        for (const [scheduler, before] of this.watched) {
            const now = new Set(scheduler.ejected());
            for (const agent of now) {
                if (!before.has(agent)) {
                    this.log.write(EntryEvent.AgentEjected, { agent });
                }
            }
            for (const agent of before) {
                if (!now.has(agent)) {
                    this.log.write(EntryEvent.AgentReadmitted, { agent });
                }
            }
            this.watched.set(scheduler, now);
        }
    }
}
