/** Fate of a change whose reply was lost. */
export type Settlement =
    | { readonly kind: "applied"; readonly revision: number; }
    /** Not applied, and it can never be applied any more. */
    | { readonly kind: "not_applied"; }
    /** The token is older than the kept tokens. */
    | { readonly kind: "forgotten"; };
