import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TicketCodec } from "../common/ticket/TicketCodec.js";
import { countRepeatedStarts } from "./countRepeatedStarts.js";
import { JobClass } from "./JobClass.js";
import { JobOutcome } from "./JobOutcome.js";
import type { JobResult } from "./JobResult.js";

const ISSUER = "0123456789abcdef";

function resultOf(codec: TicketCodec, sequence: number, repeatable: boolean): JobResult {
    const ticket = { issuer: ISSUER, address: "127.0.0.1:1", sequence, service: "s", team: "t", agents: [] };
    const tasks = [{ runMs: 1, declaredMs: 1, repeatable }];
    return {
        job: { index: sequence, at: 0, team: "t", jobClass: JobClass.ShortSingle, tasks },
        ticket: codec.encode(ticket),
        outcome: JobOutcome.Complete,
        code: undefined,
        responseMs: 1,
        answerMs: 1,
        lagMs: 0,
        resubmissions: 0,
        verdicts: [],
        executions: [],
    };
}

describe("countRepeatedStarts", () => {
    it("guards against an uncounted second start of a task that is not repeatable or whose job is unknown", () => {
        const codec = new TicketCodec("a secret of the test");
        const results = [resultOf(codec, 1, false), resultOf(codec, 2, true), resultOf(codec, 3, false)];
        const starts = new Map([[`${ISSUER}/1/0`, 2], [`${ISSUER}/2/0`, 2], [`${ISSUER}/3/0`, 1], ["other/1/0", 2]]);
        assert.deepEqual(countRepeatedStarts(results, starts, codec), { duplicates: 2, retried: 1 });
    });
});
