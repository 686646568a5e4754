import type { ClassReport } from "./ClassReport.js";
import type { Distribution } from "./Distribution.js";
import type { PeakReport } from "./PeakReport.js";
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
        /** Tasks started more than once that are not repeatable or belong to an unknown job; must be 0. */
        readonly duplicates: number | undefined;
        /** Repeatable tasks started more than once, which is allowed after they ran and failed. */
        readonly retried: number | undefined;
        /** Tasks that the faulty worker started after its first ten since the fault. */
        readonly lostToFault: number | undefined;
    };
    /** Time from the injected fault to the arrival of the last job that did not complete; 0 when all completed. */
    readonly disturbedMs: number | undefined;
    readonly classes: readonly ClassReport[];
    /** Waiting time of short single-task jobs: response time minus run time. */
    readonly shortWait: Distribution;
    readonly messages: {
        /** Messages between processes per started task, without the HTTP requests of callers and to endpoints. */
        readonly perTask: number;
        /** The same, minus two for each task between entry and agent and two for each relayed job between entries. */
        readonly beyondNecessaryPerTask: number;
        readonly relayedJobs: number;
        readonly byKind: Readonly<Record<string, number>>;
    };
    /** Load peak; undefined when the scenario has none. */
    readonly crest: PeakReport | undefined;
    /** Lag of the load tool; with a 99th percentile above 20 ms the tool limited the load. */
    readonly lag: Distribution;
    readonly toolWasLimit: boolean;
    readonly targets: readonly Target[];
}
