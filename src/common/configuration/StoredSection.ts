/** Section with its revision, which is the document revision of its last change. */
export interface StoredSection {
    readonly team: string;
    readonly revision: number;
    /** `undefined` (`null` on the wire) when the section was deleted. */
    readonly body: unknown;
}
