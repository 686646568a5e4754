/** Conditions and writes that are applied together or not at all. */
export interface Transaction {
    /** Expected row revisions; 0 means that the row must not exist. */
    readonly conditions: readonly { readonly key: string; readonly revision: number; }[];
    /** New values; `undefined` deletes the row. */
    readonly writes: readonly { readonly key: string; readonly value: unknown; }[];
}
