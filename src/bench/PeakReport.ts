import type { Distribution } from "./Distribution.js";

/** Measurements during and after a load peak. */
export interface PeakReport {
    /** Work done during the peak for jobs that completed, over the capacity in that time. */
    readonly goodputShare: number;
    /** Time from sending a job to its refusal. */
    readonly refusal: Distribution;
    /** 99th percentile of responses from 3 s after the peak on, over that of the ideal without the peak's jobs. */
    readonly recoveredP99Ratio: number;
    /** Work done for each team during the peak over its fair share. */
    readonly teams: readonly { readonly team: string; readonly shareOfFair: number; }[];
}
