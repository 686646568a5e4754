/** Amounts of resources that a task occupies at an endpoint. */
export interface Resources {
    /** Thousandths of a core. */
    readonly cpu: number;
    readonly memoryMb: number;
    readonly gpu: number;
}
