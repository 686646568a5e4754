import type { WorkerProfile } from "./WorkerProfile.js";

/** Deployment that a load run imitates. */
export interface Profile {
    readonly name: string;
    readonly service: string;
    readonly region: string;
    readonly entries: readonly { readonly id: string; readonly failureDomain: string; }[];
    readonly workers: readonly WorkerProfile[];
    /** Teams with equal weights, and the share of the offered work that each submits. */
    readonly teams: readonly { readonly name: string; readonly demandShare: number; }[];
}
