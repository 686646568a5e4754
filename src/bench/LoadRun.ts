import type { JobResult } from "./JobResult.js";
import type { Profile } from "./Profile.js";
import type { RepeatedStarts } from "./RepeatedStarts.js";
import type { Scenario } from "./Scenario.js";

/** Measurements of one load run. */
export interface LoadRun {
    readonly profile: Profile;
    readonly scenario: Scenario;
    readonly scheduler: string;
    readonly seed: number;
    /** Wall-clock start of the arrivals in milliseconds since the Unix epoch. */
    readonly startedAt: number;
    readonly results: readonly JobResult[];
    /** Number of messages between processes by kind, counted until the last job was sent. */
    readonly messages: ReadonlyMap<string, number>;
    /** Number of jobs that an entry relayed to the issuer of their ticket. */
    readonly relayedJobs: number;
    /** Repeated starts at all endpoints; undefined when the load was sent to entries outside of this process. */
    readonly repeated: RepeatedStarts | undefined;
    /** Tasks that a failing or silent worker in this process started after its first ten since the fault. */
    readonly lostToFault: number | undefined;
}
