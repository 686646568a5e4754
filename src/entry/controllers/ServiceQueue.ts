import type { Clock } from "../../common/Clock.js";
import type { ConfigurationView } from "../../common/configuration/ConfigurationView.js";
import type { Disposable } from "../../common/Disposable.js";
import type { Assignment } from "../policy/Assignment.js";
import type { QueuedTask } from "../policy/QueuedTask.js";
import type { Scheduler } from "../policy/Scheduler.js";

/** Drives the scheduler of one service: after each event it starts all assignments, then sets one timer. */
export class ServiceQueue implements Disposable {
    private cancelTimer: () => void = () => undefined;
    private pumping = false;

    constructor(
        public readonly service: string,
        public readonly scheduler: Scheduler,
        private readonly clock: Clock,
        private readonly onAssign: (assignment: Assignment) => void,
        private readonly onExpire: (task: QueuedTask) => void,
    ) {}

    /** Applies the configuration in force. */
    public configure(configuration: ConfigurationView): void {
        const service = configuration.service(this.service);
        if (service === undefined) {
            return;
        }
        this.scheduler.configure({
            maxQueuedTasks: service.maxQueuedTasks,
            maxTaskMs: service.maxTaskMs,
            reservedShare: service.reservedShare,
            team: name => {
                const team = configuration.team(name);
                return team === undefined ? undefined : { weight: team.weight, maxTasks: team.quota.maxTasks };
            },
        });
    }

    /** Expires overdue tasks, starts all assignments that are possible now, and sets the timer for the next change. */
    public pump(): void {
        if (this.pumping) {
            return;
        }
        this.pumping = true;
        try {
            this.startAssignments();
        }
        finally {
            this.pumping = false;
        }
        this.setTimer();
    }

    public dispose(): void {
        this.cancelTimer();
    }

    private startAssignments(): void {
        for (const task of this.scheduler.expire(this.clock.now())) {
            this.onExpire(task);
        }
        let assignment = this.scheduler.assign(this.clock.now());
        while (assignment !== undefined) {
            this.onAssign(assignment);
            assignment = this.scheduler.assign(this.clock.now());
        }
    }

    private setTimer(): void {
        this.cancelTimer();
        const now = this.clock.now();
        const wakeAt = this.scheduler.nextWakeAt(now);
        this.cancelTimer = wakeAt === undefined ? () => undefined : this.clock.schedule(wakeAt - now, () => {
            this.pump();
        });
    }
}
