/** Network faults between named processes, shared by all links of a test. */
export class LinkRules {
    /** Number of connections that the links accepted, by `from>to`. */
    public readonly attempts = new Map<string, number>();
    /** Number of frames that the links delivered, by `from>to`. */
    public readonly frames = new Map<string, number>();
    /** Delay of the next chunk, in milliseconds. */
    public delayMs: () => number = () => 0;
    private readonly stalled = new Set<string>();
    private readonly severed = new Set<string>();
    private readonly listeners = new Set<() => void>();

    /** Holds back all bytes from one process to another; connections stay open, so they are half-open. */
    public stall(from: string, to: string): void {
        this.stalled.add(`${from}>${to}`);
    }

    /** Holds back all bytes between two processes, in both directions. */
    public stallBoth(a: string, b: string): void {
        this.stall(a, b);
        this.stall(b, a);
    }

    /** Partitions two groups of processes: resets open connections between them and every new one. */
    public cut(as: readonly string[], bs: readonly string[]): void {
        for (const [a, b] of as.flatMap(a => bs.map(b => [a, b]))) {
            this.severed.add(`${a}>${b}`).add(`${b}>${a}`);
        }
        this.notifyListeners();
    }

    /** Ends all stalls and partitions; bytes held back are delivered on connections that are still open. */
    public heal(): void {
        this.stalled.clear();
        this.severed.clear();
        this.notifyListeners();
    }

    public isStalled(from: string, to: string): boolean {
        return this.stalled.has(`${from}>${to}`);
    }

    public isSevered(from: string, to: string): boolean {
        return this.severed.has(`${from}>${to}`);
    }

    public countAttempt(from: string, to: string): void {
        count(this.attempts, `${from}>${to}`, 1);
    }

    public countFrames(from: string, to: string, frames: number): void {
        count(this.frames, `${from}>${to}`, frames);
    }

    /** Calls `listener` after each change until the returned function is called. */
    public onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => {
            this.listeners.delete(listener);
        };
    }

    private notifyListeners(): void {
        for (const listener of [...this.listeners]) {
            listener();
        }
    }
}

function count(counts: Map<string, number>, key: string, by: number): void {
    counts.set(key, (counts.get(key) ?? 0) + by);
}
