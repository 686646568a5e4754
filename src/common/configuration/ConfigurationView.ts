import type { Event } from "../Event.js";
import type { ServiceConfiguration } from "./ServiceConfiguration.js";
import type { TeamSection } from "./TeamSection.js";

/** Configuration in force in this process. */
export interface ConfigurationView {
    /** Revision in force; 0 while the process has no document. */
    readonly revision: number;
    /** Fires with the new revision after sections were adopted. */
    readonly onChange: Event<number>;
    service(name: string): ServiceConfiguration | undefined;
    team(name: string): TeamSection | undefined;
    services(): readonly string[];
    teams(): readonly TeamSection[];
}
