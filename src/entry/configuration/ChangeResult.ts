import type { ConfigurationFault } from "../../common/configuration/ConfigurationFault.js";
import type { Fault } from "../../common/Fault.js";
import type { Difference } from "./Difference.js";

/** What became of a change that an operator asked for. */
export type ChangeResult =
    | { readonly kind: "applied"; readonly revision: number; }
    /** Not applied: the section is wrong. */
    | { readonly kind: "invalid"; readonly faults: readonly ConfigurationFault[]; }
    /** Not applied: the section has changed since the revision that the operator read. */
    | {
        readonly kind: "conflict";
        /** Current revision of the section. */
        readonly revision: number;
        readonly current: unknown;
        /** What changed since the operator's base; absent when that version is no longer kept. */
        readonly changed?: readonly Difference[] | undefined;
        /** What the operator changes, compared with the base, or with the current section when the base is not kept. */
        readonly requested: readonly Difference[];
        readonly requestedAgainst: "base" | "current";
    }
    /** Not applied: the store could not be used or other changes always came first. */
    | { readonly kind: "refused"; readonly fault: Fault; }
    /** The store took the change but its answer is unknown; ask again with the token. */
    | { readonly kind: "unknown"; readonly token: string; };
