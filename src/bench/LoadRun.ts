import type { JobResult } from "./JobResult.js";
import type { Profile } from "./Profile.js";
import type { RepeatedStarts } from "./RepeatedStarts.js";
import type { Scenario } from "./Scenario.js";

/** Everything that one load run has measured. */
export interface LoadRun {
    readonly profile: Profile;
    readonly scenario: Scenario;
    readonly scheduler: string;
    readonly seed: number;
    /** Wall-clock start of the arrivals in milliseconds since the Unix epoch. */
    readonly startedAt: number;
    readonly results: readonly JobResult[];
    /** Messages between processes by kind, while jobs arrived. */
    readonly messages: ReadonlyMap<string, number>;
    /** Jobs that an entry relayed to the issuer of their ticket. */
    readonly relayedJobs: number;
    /** Undefined against processes that run already. */
    readonly repeated: RepeatedStarts | undefined;
    readonly lostToFault: number | undefined;
}
