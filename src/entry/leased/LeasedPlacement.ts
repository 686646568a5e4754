import type { AgentView } from "./AgentView.js";
import type { PlacementRequest } from "./PlacementRequest.js";

/** Chooses the agent for a task. */
export interface LeasedPlacement {
    /** Returns the agent that gets the task, or undefined when the task should wait. */
    choose(request: PlacementRequest, agents: Iterable<AgentView>): AgentView | undefined;
}
