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
        /** Tasks started more than once although not repeatable, or twice as the same attempt; must be 0. */
        readonly duplicates: number | undefined;
        /** Repeatable tasks that were started again after they had run and failed. */
        readonly retried: number | undefined;
        /** Tasks that failed at the faulty worker after its first ten. */
        readonly lostToFault: number | undefined;
    };
    /** Time from the injected fault to the arrival of the last job that was not completed; 0 when all were. */
    readonly disturbedMs: number | undefined;
    readonly classes: readonly ClassReport[];
    /** Wait of short single-task jobs: response less run time. */
    readonly shortWait: Distribution;
    readonly messages: {
        /** Messages between processes per started task; the HTTP of callers and endpoints is not counted. */
        readonly perTask: number;
        /** Without two per task between entry and agent and two per relayed job between entries. */
        readonly beyondNecessaryPerTask: number;
        readonly relayedJobs: number;
        readonly byKind: Readonly<Record<string, number>>;
    };
    readonly crest: CrestReport | undefined;
    /** Delay of the load tool itself; a 99th percentile above 20 ms means that the tool was the limit. */
    readonly lag: Distribution;
    readonly toolWasLimit: boolean;
    readonly targets: readonly Target[];
}
