import { fits } from "../../common/leased/fits.js";
import type { Step } from "../../common/leased/Step.js";
import type { Random } from "../../common/Random.js";
import type { AgentHealth } from "./AgentHealth.js";
import type { AgentView } from "./AgentView.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedPlacement } from "./LeasedPlacement.js";
import type { LeasedTask } from "./LeasedTask.js";
import type { PlacementQuestion } from "./PlacementQuestion.js";

/** Run times on racks without the task's data, as a multiple. */
const REMOTE_FACTOR = 1.5;

/** Weight of an agent that failed its last task, as a multiple of its run time. */
const SUSPECT_FACTOR = 1.5;

/** How much of its room an endpoint may have in use before that counts against it, and the share that it then adds. */
const CROWDING_SHARE = 0.1;

/** Share of its room that an endpoint keeps from jobs whose target is missed already. */
const SPARE_SHARE = 0.2;

/** How far beyond the target an expected end may lie, as a multiple of the target; declared times are often far off. */
const TARGET_TOLERANCE = 1.05;

/**
 * Advantage of an agent that gets other tasks of the job, which travel in one order and their ends in one message. A larger
 * one fills endpoints that other entries are about to fill as well.
 */
const SAME_AGENT_SHARE = 0.03;

/** Disadvantage of an agent in another failure domain, where traffic between domains is paid for. */
const AWAY_SHARE = 0.04;

/** Random part of a cost, so that entries that see the same reports do not all choose the same endpoint. */
const JITTER_SHARE = 0.05;

/** Gives each task to the endpoint with room that is expected to finish it first. */
export class FastestEndpoint implements LeasedPlacement {
    constructor(
        private readonly health: AgentHealth,
        private readonly random: Random,
        /** Failure domain of the entry. */
        private readonly failureDomain: string,
    ) {}

    public choose(question: PlacementQuestion, agents: Iterable<AgentView>): AgentView | undefined {
        let best: AgentView | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const agent of agents) {
            if (!this.eligible(question, agent)) {
                continue;
            }
            const cost = this.costMs(question, agent);
            if (cost < bestCost) {
                best = agent;
                bestCost = cost;
            }
        }
        return best;
    }

    private eligible(question: PlacementQuestion, agent: AgentView): boolean {
        const { job, step, task } = question;
        // Most agents are ruled out here at a crest, when this runs most often.
        if (!fits(step.need, agent.free())) {
            return false;
        }
        const condition = agent.current;
        if (condition === undefined || !agent.accepting || condition.service !== job.route.service) {
            return false;
        }
        const labelled = step.requiredLabel === undefined || condition.labels.includes(step.requiredLabel);
        if (!labelled || task.avoided.has(agent.id) || !this.health.sound(agent.id)) {
            return false;
        }
        if (!this.belowSpread(job, step, task, agent)) {
            return false;
        }
        return this.servesTarget(question, agent);
    }

    /**
     * A job that can still meet its target waits for an endpoint that is fast enough. One that cannot leaves some room
     * for those that can, which other entries may have.
     */
    private servesTarget({ job, step, now }: PlacementQuestion, agent: AgentView): boolean {
        if (job.targetAt - job.chainMs < now) {
            const spare = agent.free().cpu - step.need.cpu;
            return job.offered || spare >= SPARE_SHARE * (agent.current?.capacity.cpu ?? 0);
        }
        const runMs = step.estimateMs * (agent.current?.slowness ?? 1);
        return now + runMs <= job.arrivedAt + TARGET_TOLERANCE * (job.targetAt - job.arrivedAt);
    }

    private belowSpread(job: LeasedJob, step: Step, task: LeasedTask, agent: AgentView): boolean {
        if (step.maxPerEndpoint === 0) {
            return true;
        }
        const here = job.tasks.filter(other => other.step === task.step && other.agent === agent.id).length;
        return here < step.maxPerEndpoint;
    }

    private costMs({ step, chosen }: PlacementQuestion, agent: AgentView): number {
        const condition = agent.current;
        const slowness = condition?.slowness ?? 1;
        const capacity = condition?.capacity.cpu ?? 1;
        const crowding = 1 - agent.free().cpu / Math.max(1, capacity);
        const remote = step.preferredRack !== undefined && !condition?.labels.includes(step.preferredRack);
        const factors = (remote ? REMOTE_FACTOR : 1) * (this.health.suspect(agent.id) ? SUSPECT_FACTOR : 1);
        const runMs = step.estimateMs * slowness * factors;
        const away = agent.failureDomain === this.failureDomain ? 0 : AWAY_SHARE;
        const together = chosen.has(agent.id) ? SAME_AGENT_SHARE : 0;
        return runMs * (1 + CROWDING_SHARE * crowding + away - together + JITTER_SHARE * this.random.next());
    }
}
