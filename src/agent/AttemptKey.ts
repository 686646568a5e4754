/** Identifies one attempt of one task of a ticket. */
export interface AttemptKey {
    /** Incarnation of the issuing entry. */
    readonly issuer: string;
    readonly sequence: number;
    readonly task: number;
    readonly attempt: number;
}
