import type { Fault } from "../../common/Fault.js";
import type { AgentProfile } from "./AgentProfile.js";
import type { Assignment } from "./Assignment.js";
import type { AttemptReport } from "./AttemptReport.js";
import type { Disposition } from "./Disposition.js";
import type { QueuedTask } from "./QueuedTask.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";

/**
 * Makes the decisions of the home entry for the jobs of one service: admission, order, placement, retries and health.
 * It is a deterministic state machine: it does no input or output, reads no clock, and gets the time `now` (ms) with
 * each call.
 */
export interface Scheduler {
    /** Number of tasks that wait for a slot, including those that wait for a retry. */
    readonly queued: number;
    readonly running: number;
    configure(limits: SchedulerLimits): void;
    /** Adds an agent without credits. */
    addAgent(agent: AgentProfile, now: number): void;
    /** Removes an agent. Attempts running on it stay open until they are reported. */
    removeAgent(id: string, now: number): void;
    /** Changes the number of starts that the agent allows by `delta`, which is negative for released credits. */
    addCredits(id: string, delta: number, now: number): void;
    /** Unused credits of the agent. */
    freeCredits(id: string): number;
    /** Marks an agent as draining: it accepts no new starts, but still reports its running tasks. */
    drainAgent(id: string, now: number): void;
    /** Admits the whole job, or returns the refusal, whose verdict is always `not_run`. */
    admit(job: ScheduledJob, now: number): Fault | undefined;
    /** Withdraws queued tasks of a job, all if `task` is undefined; returns their indexes. Running tasks stay open. */
    withdraw(job: string, task: number | undefined, now: number): readonly number[];
    /** Picks the next start and uses one credit, or returns undefined when nothing can start now. */
    assign(now: number): Assignment | undefined;
    /** Records the end of an attempt. Its credit is returned separately, by `addCredits`. */
    report(report: AttemptReport, now: number): Disposition;
    /** Removes and returns queued tasks whose deadline has passed. */
    expire(now: number): readonly QueuedTask[];
    /** Agents that get no tasks but probes, because tasks failed there. */
    ejected(): readonly string[];
    /** Earliest time at which `expire` or `assign` may have new results without any other call; undefined for never. */
    nextWakeAt(now: number): number | undefined;
}
