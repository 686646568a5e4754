/** Value of the row `config/head`. Its size does not grow with the number of teams. */
export interface HeadValue {
    readonly revision: number;
    /** The latest changes, oldest first: one for each document revision up to `revision`, also of deleted sections. */
    readonly recent: readonly { readonly team: string; readonly revision: number; }[];
}
