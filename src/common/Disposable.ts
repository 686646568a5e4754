/** Something that holds resources and releases them once when disposed. */
export interface Disposable {
    dispose(): void;
}
