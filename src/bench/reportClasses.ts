import type { ClassReport } from "./ClassReport.js";
import { JobClass } from "./JobClass.js";
import { JobOutcome } from "./JobOutcome.js";
import type { JobResult } from "./JobResult.js";
import { summarize } from "./summarize.js";

/** Compares the response times of complete jobs with the ideal, for all jobs together and for each class. */
export function reportClasses(results: readonly JobResult[], ideal: ReadonlyMap<number, number>): ClassReport[] {
    const complete = results.filter(result => result.outcome === JobOutcome.Complete);
    const classes = Object.values(JobClass).map(jobClass => {
        return compare(jobClass, complete.filter(result => result.job.jobClass === jobClass), ideal);
    });
    return [compare("all", complete, ideal), ...classes].filter(report => report.response.count > 0);
}

function compare(name: string, results: readonly JobResult[], ideal: ReadonlyMap<number, number>): ClassReport {
    const response = summarize(results.map(result => result.responseMs));
    const best = summarize(results.map(result => ideal.get(result.job.index) ?? 0));
    return {
        name,
        response,
        ideal: best,
        meanRatio: response.mean / best.mean,
        p99Ratio: response.p99 / best.p99,
    };
}
