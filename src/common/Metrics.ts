/** Counters, gauges and timings of a process. Names use dots; units stand at the end of the name. */
export interface Metrics {
    increment(name: string, by?: number): void;
    gauge(name: string, value: number): void;
    timing(name: string, ms: number): void;
    /** Sends the buffered metrics and closes the socket. */
    close(): void;
}
