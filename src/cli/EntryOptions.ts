/** Options of every command that talks to entries. */
export interface EntryOptions {
    /** Base URLs of entries, in the order in which they are tried. */
    readonly entry: readonly string[];
    readonly token: string;
    /** Whether to print JSON instead of text. */
    readonly json?: boolean;
}
