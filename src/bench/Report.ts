import type { ClassReport } from "./ClassReport.js";
import type { CrestReport } from "./CrestReport.js";
import type { Distribution } from "./Distribution.js";
import type { Target } from "./Target.js";

/** Result of one load run, as written to JSON. Times are milliseconds. */
export interface Report {
    readonly profile: string;
    readonly scenario: string;
    readonly scheduler: string;
    readonly seed: number;
    readonly jobs: {
        readonly planned: number;
        readonly complete: number;
        readonly failed: number;
        readonly refused: number;
        readonly lost: number;
    };
    /** Number of failures and refusals by code. */
    readonly codes: Readonly<Record<string, number>>;
    readonly tasks: {
        readonly planned: number;
        readonly ran: number;
        readonly mayHaveRun: number;
        /** Tasks that an endpoint started more than once; undefined against processes of others. */
        readonly duplicates: number | undefined;
        /** Tasks that failed at the faulty worker after its first ten. */
        readonly lostToFault: number | undefined;
    };
    readonly classes: readonly ClassReport[];
    /** Wait of short single-task jobs: response less run time. */
    readonly shortWait: Distribution;
    readonly messages: {
        /** Messages between processes per started task, without those of the tickets and jobs of callers. */
        readonly perTask: number;
        readonly beyondNecessaryPerTask: number;
        readonly byKind: Readonly<Record<string, number>>;
    };
    readonly crest: CrestReport | undefined;
    /** Delay of the load tool itself; a 99th percentile above 20 ms means that the tool was the limit. */
    readonly lag: Distribution;
    readonly toolWasLimit: boolean;
    readonly targets: readonly Target[];
}
