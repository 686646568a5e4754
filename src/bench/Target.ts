/** Stated target and the value measured in the run. */
export interface Target {
    readonly name: string;
    readonly limit: number;
    readonly value: number;
    readonly met: boolean;
}
