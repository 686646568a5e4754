import type { ConfigurationFault } from "../../common/configuration/ConfigurationFault.js";
import type { Fault } from "../../common/Fault.js";
import type { Difference } from "./Difference.js";

/** Result of a configuration change that an operator requested. */
export type ChangeResult =
    | { readonly kind: "applied"; readonly revision: number; }
    /** Not applied: the section is invalid. */
    | { readonly kind: "invalid"; readonly faults: readonly ConfigurationFault[]; }
    /** Not applied: the section has changed since the revision that the operator read. */
    | {
        readonly kind: "conflict";
        /** Current revision of the section. */
        readonly revision: number;
        readonly current: unknown;
        /** Differences between the operator's base and the current section; absent when the base is no longer kept. */
        readonly changed?: readonly Difference[] | undefined;
        /** Differences between the requested section and the base, or the current section if the base is not kept. */
        readonly requested: readonly Difference[];
        readonly requestedAgainst: "base" | "current";
    }
    /** Not applied: the store was unavailable, there is no section to delete, or other changes always came first. */
    | { readonly kind: "refused"; readonly fault: Fault; }
    /** Possibly applied: the store's reply was lost. The token allows the result to be requested later. */
    | { readonly kind: "unknown"; readonly token: string; };
