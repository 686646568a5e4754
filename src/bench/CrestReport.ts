import type { Distribution } from "./Distribution.js";

/** Service during and after a demand peak. */
export interface CrestReport {
    /** Work done for complete jobs in the peak over capacity times its duration. */
    readonly goodputShare: number;
    /** Time from sending to refusal. */
    readonly refusal: Distribution;
    /** 99th percentile of responses over the ideal without the peak, for jobs that arrive 3 s or more after it. */
    readonly recoveredP99Ratio: number;
    /** Work done for each team in the peak over its fair share. */
    readonly teams: readonly { readonly team: string; readonly shareOfFair: number; }[];
}
