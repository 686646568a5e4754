/** Result of a change whose reply was lost. */
export type ResolvedChange =
    | { readonly kind: "applied"; readonly revision: number; }
    /** Not applied, and can no longer be applied. */
    | { readonly kind: "not_applied"; }
    /** Not known: the token is older than the tokens that are kept. */
    | { readonly kind: "forgotten"; };
