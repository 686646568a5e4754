import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TextMetrics } from "./TextMetrics.js";

describe("TextMetrics", () => {
    it("guards against counters and histograms that do not add up", () => {
        const metrics = new TextMetrics();
        metrics.increment("jobs.taken");
        metrics.increment("jobs.taken", 2);
        metrics.timing("job.elapsed_ms", 3);
        metrics.timing("job.elapsed_ms", 9000);
        const lines = metrics.render().split("\n");
        assert.ok(lines.includes("waxwingshunt_jobs_taken_total 3"));
        assert.ok(lines.includes('waxwingshunt_job_elapsed_ms_bucket{le="5"} 1'));
        assert.ok(lines.includes('waxwingshunt_job_elapsed_ms_bucket{le="5000"} 1'));
        assert.ok(lines.includes('waxwingshunt_job_elapsed_ms_bucket{le="+Inf"} 2'));
    });
});
