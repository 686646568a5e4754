import type { ServiceConfiguration } from "./ServiceConfiguration.js";

/** Section of the configuration document that one team owns. */
export interface TeamSection {
    readonly team: string;
    /** Share of a service's slots relative to other teams, 0.01 to 1,000; default 1. */
    readonly weight: number;
    /** Limits on the tasks that the team may have queued and running at once. */
    readonly quota: {
        /** Tasks queued and running per service; default 20,000. */
        readonly maxTasks: number;
    };
    /** Services that this team registers, by name. A name belongs to one team only. */
    readonly services: Readonly<Record<string, ServiceConfiguration>>;
}
