import type { StoryBody } from "./StoryBody.js";

/** Lines for people about the story of a job, with times relative to its first step. */
export function describeStory(story: StoryBody): readonly string[] {
    const start = story.steps[0]?.at ?? 0;
    return story.steps.map(step => {
        const task = step.task === undefined ? "" : ` task ${step.task}`;
        const attempt = step.attempt === undefined ? "" : ` attempt ${step.attempt}`;
        const agent = step.agent === undefined ? "" : ` on ${step.agent}`;
        const detail = step.detail === undefined ? "" : ` (${step.detail})`;
        const at = `+${(step.at - start).toFixed(0)} ms`.padStart(10);
        return `${at} ${step.source} [${step.event}] ${step.text}${task}${attempt}${agent}${detail}`;
    });
}
