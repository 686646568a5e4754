import assert from "node:assert/strict";
import type { JobAnswer } from "../../common/job/JobAnswer.js";
import { JobState } from "../../common/job/JobState.js";
import { Verdict } from "../../common/Verdict.js";
import type { Deployment } from "./Deployment.js";

/** Asserts that an answer covers every task and that its verdicts agree with the starts counted by the endpoints. */
export async function checkAnswer(deployment: Deployment, answer: JobAnswer, taskCount: number): Promise<void> {
    assert.notEqual(answer.state, JobState.Running);
    assert.deepEqual(answer.tasks.map(task => task.index), Array.from({ length: taskCount }, (_, index) => index));
    const starts = await deployment.starts();
    for (const { index, verdict, output } of answer.tasks) {
        const count = starts.get(deployment.keyOf(answer.ticket, index)) ?? 0;
        const seen = `task ${index}: ${verdict}, ${count} starts`;
        assert.ok(count <= 1, seen);
        assert.ok(verdict !== Verdict.NotRun || count === 0, seen);
        assert.ok(verdict !== Verdict.Ran || count === 1, seen);
        if (answer.state === JobState.Complete) {
            assert.equal(verdict, Verdict.Ran);
            assert.deepEqual((output as { value: unknown; }).value, index);
        }
        else {
            assert.equal(output, undefined);
        }
    }
}
