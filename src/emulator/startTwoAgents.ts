import type { DeploymentOptions } from "./DeploymentOptions.js";
import { EmulatedDeployment } from "./EmulatedDeployment.js";

/** Time until endpoints, agents and entries know each other. */
const WARMUP_MS = 500;

type TwoAgentOptions = Partial<DeploymentOptions> & Pick<DeploymentOptions, "work">;

/**
 * Starts one entry and two agents and waits until they know each other. Endpoint `draining` drains, so that the other
 * one gets all tasks until a later heartbeat.
 */
export async function startTwoAgents(options: TwoAgentOptions, draining = 1): Promise<EmulatedDeployment> {
    const defaults = { entries: 1, agents: 2, seed: 1, cpu: 64_000, taskCpu: 6000 };
    const deployment = new EmulatedDeployment({ ...defaults, ...options });
    deployment.deliverHeartbeat(draining, 1, 2, true);
    await deployment.advance(WARMUP_MS);
    return deployment;
}
