/** Value of a row `config/<team>`. */
export interface SectionValue {
    /** Document revision of the last change. */
    readonly revision: number;
    /** Absent for a deleted section. Its row stays, so that every process learns of the deletion. */
    readonly body?: unknown;
    /** Earlier versions, newest first, to show an operator what changed since the version that was read. */
    readonly previous: readonly { readonly revision: number; readonly body?: unknown; }[];
}
