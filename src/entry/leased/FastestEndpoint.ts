import { fits } from "../../common/leased/fits.js";
import type { Step } from "../../common/leased/Step.js";
import type { Random } from "../../common/Random.js";
import type { AgentHealth } from "./AgentHealth.js";
import type { AgentView } from "./AgentView.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedPlacement } from "./LeasedPlacement.js";
import type { LeasedTask } from "./LeasedTask.js";
import type { PlacementRequest } from "./PlacementRequest.js";

/** Factor on the expected run time on a rack without the task's data. */
const REMOTE_FACTOR = 1.5;

/** Factor on the expected run time at an agent where a job has failed since the last success. */
const SUSPECT_FACTOR = 1.5;

/**
 * Cost of an endpoint whose processors are all in use, as a share of the run time; less in proportion to what is free.
 */
const CROWDING_PENALTY = 0.1;

/**
 * Share of an endpoint's processor capacity that is kept free of new jobs that can no longer meet their latency target.
 */
const RESERVED_SHARE = 0.2;

/** The expected end may exceed the latency target by this factor, because declared run times are often far off. */
const TARGET_TOLERANCE = 1.05;

/**
 * Bonus, as a share of the run time, for an agent that gets other tasks of the job in the same pass: the tasks travel
 * in one message, and so do the reports of their ends. A larger bonus fills endpoints that other entries are about to
 * fill as well.
 */
const SAME_AGENT_BONUS = 0.03;

/**
 * Cost of an agent in another failure domain, as a share of the run time; traffic between failure domains is paid for.
 */
const OTHER_DOMAIN_PENALTY = 0.04;

/** Random part of the cost, so that entries that see the same reports do not all choose the same endpoint. */
const JITTER_SHARE = 0.05;

/** Chooses the endpoint with enough free capacity that is expected to finish the task first. */
export class FastestEndpoint implements LeasedPlacement {
    constructor(
        private readonly health: AgentHealth,
        private readonly random: Random,
        /** Failure domain of the entry. */
        private readonly failureDomain: string,
    ) {}

    public choose(request: PlacementRequest, agents: Iterable<AgentView>): AgentView | undefined {
        let best: AgentView | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const agent of agents) {
            if (!this.isEligible(request, agent)) {
                continue;
            }
            const cost = this.costMs(request, agent);
            if (cost < bestCost) {
                best = agent;
                bestCost = cost;
            }
        }
        return best;
    }

    private isEligible(request: PlacementRequest, agent: AgentView): boolean {
        const { job, step, task } = request;
        // First, because at peak load, when this runs most often, most agents are ruled out by it.
        if (!fits(step.need, agent.free())) {
            return false;
        }
        const status = agent.status;
        if (status === undefined || !agent.accepting || status.service !== job.route.service) {
            return false;
        }
        const hasLabel = step.requiredLabel === undefined || status.labels.includes(step.requiredLabel);
        if (!hasLabel || task.excludedAgents.has(agent.id) || !this.health.isUsable(agent.id)) {
            return false;
        }
        if (!this.isBelowEndpointLimit(job, step, task, agent)) {
            return false;
        }
        return this.allowsForTarget(request, agent);
    }

    /**
     * A job that can still meet its latency target waits for an endpoint that is fast enough. A new job that cannot
     * leaves some capacity to those that can, which may be queued at other entries.
     */
    private allowsForTarget({ job, step, now }: PlacementRequest, agent: AgentView): boolean {
        if (job.targetAt - job.criticalPathMs < now) {
            const spare = agent.free().cpu - step.need.cpu;
            return job.dispatched || spare >= RESERVED_SHARE * (agent.status?.capacity.cpu ?? 0);
        }
        const runMs = step.estimateMs * (agent.status?.slowness ?? 1);
        return now + runMs <= job.arrivedAt + TARGET_TOLERANCE * (job.targetAt - job.arrivedAt);
    }

    private isBelowEndpointLimit(job: LeasedJob, step: Step, task: LeasedTask, agent: AgentView): boolean {
        if (step.maxPerEndpoint === 0) {
            return true;
        }
        const placedOnAgent = job.tasks.filter(other => other.step === task.step && other.agent === agent.id).length;
        return placedOnAgent < step.maxPerEndpoint;
    }

    private costMs({ step, chosenAgents }: PlacementRequest, agent: AgentView): number {
        const status = agent.status;
        const slowdown = status?.slowness ?? 1;
        const capacity = status?.capacity.cpu ?? 1;
        const crowding = 1 - agent.free().cpu / Math.max(1, capacity);
        const isRemote = step.preferredRack !== undefined && !status?.labels.includes(step.preferredRack);
        const factors = (isRemote ? REMOTE_FACTOR : 1) * (this.health.isSuspect(agent.id) ? SUSPECT_FACTOR : 1);
        const runMs = step.estimateMs * slowdown * factors;
        const domainPenalty = agent.failureDomain === this.failureDomain ? 0 : OTHER_DOMAIN_PENALTY;
        const sameAgentBonus = chosenAgents.has(agent.id) ? SAME_AGENT_BONUS : 0;
        return runMs
            * (1 + CROWDING_PENALTY * crowding + domainPenalty - sameAgentBonus + JITTER_SHARE * this.random.next());
    }
}
