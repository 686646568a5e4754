/** Stated target and what the run measured. */
export interface Target {
    readonly name: string;
    readonly limit: number;
    readonly value: number;
    readonly met: boolean;
}
