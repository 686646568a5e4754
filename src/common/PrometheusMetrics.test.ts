import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PrometheusMetrics } from "./PrometheusMetrics.js";

describe("PrometheusMetrics", () => {
    it("guards against wrong sums of counters and histograms", () => {
        const metrics = new PrometheusMetrics();
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
