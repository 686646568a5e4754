import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FaultCode } from "../../common/FaultCode.js";
import { JobState } from "../../common/job/JobState.js";
import { Verdict } from "../../common/Verdict.js";
import { FrameCodec } from "../../common/wire/FrameCodec.js";
import { buildAnswer } from "./buildAnswer.js";
import type { TaskResult } from "./TaskResult.js";

function resultsOf(count: number, outputChars: number): [number, TaskResult][] {
    return Array.from({ length: count }, (_, index) => {
        return [index, { ok: true, verdict: Verdict.Ran, output: "x".repeat(outputChars) }];
    });
}

describe("buildAnswer", () => {
    describe("outputs that are large together", () => {
        it("guards against an answer that does not fit into a frame, and against reporting its tasks as not run", () => {
            const answer = buildAnswer("ticket", resultsOf(4, 1_000_000), undefined);
            assert.equal(answer.state, JobState.Failed);
            assert.equal(answer.verdict, Verdict.Ran);
            assert.equal(answer.reason?.code, FaultCode.TooLarge);
            assert.ok(answer.tasks.every(task => task.output === undefined));
        });

        it("fits an answer up to the limit into one frame", () => {
            const answer = buildAnswer("ticket", resultsOf(3, 1_000_000), undefined);
            assert.equal(answer.state, JobState.Complete);
            assert.doesNotThrow(() => FrameCodec.encode({ kind: "reply", id: 1, body: answer }));
        });
    });
});
