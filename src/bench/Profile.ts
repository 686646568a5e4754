import type { WorkerProfile } from "./WorkerProfile.js";

/** Description of a deployment for load runs. */
export interface Profile {
    readonly name: string;
    readonly service: string;
    readonly region: string;
    readonly entries: readonly { readonly id: string; readonly failureDomain: string; }[];
    readonly workers: readonly WorkerProfile[];
    /** Teams, all of equal weight, and the share of the offered work that each submits. */
    readonly teams: readonly { readonly name: string; readonly demandShare: number; }[];
}
