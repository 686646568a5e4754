import type { AgentView } from "./AgentView.js";
import type { PlacementQuestion } from "./PlacementQuestion.js";

/** Chooses the agent for a task. */
export interface LeasedPlacement {
    /** Returns the agent that gets the task, or undefined when it should wait. */
    choose(question: PlacementQuestion, agents: Iterable<AgentView>): AgentView | undefined;
}
