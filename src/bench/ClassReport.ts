import type { Distribution } from "./Distribution.js";

/** Response times of one job class, compared with the ideal queue's response times for the same jobs. */
export interface ClassReport {
    readonly name: string;
    readonly response: Distribution;
    readonly ideal: Distribution;
    /** Mean response over mean ideal. */
    readonly meanRatio: number;
    /** 99th percentile of the response over that of the ideal. */
    readonly p99Ratio: number;
}
