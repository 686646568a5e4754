/** Lines wait this long, so that a busy process makes few system calls. */
const FLUSH_INTERVAL_MS = 200;

/** Most bytes that wait, here and in the stream, before lines are dropped. */
const MAX_WAITING_BYTES = 512 * 1024;

/** Most lines a second, so that the volume stays bounded under load. */
const MAX_LINES_PER_S = 600;

const MS_PER_S = 1000;

/** Stream that never blocks for long: `writableLength` counts bytes that it has not passed on. */
interface Sink {
    readonly writableLength: number;
    write(text: string): unknown;
}

/** Bounded writer of log lines that never waits for its reader: lines over a bound are dropped and counted. */
export class LineWriter {
    private waiting: string[] = [];
    private waitingBytes = 0;
    private dropped = 0;
    private windowBegan = 0;
    private windowLines = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly sink: Sink, private readonly now: () => number = () => performance.now()) {}

    /** Lines dropped since the start of the process. */
    public get droppedLines(): number {
        return this.dropped;
    }

    public write(line: string): void {
        if (!this.admit(line)) {
            this.dropped += 1;
            return;
        }
        this.waiting.push(line);
        this.waitingBytes += line.length + 1;
        this.timer ??= setTimeout(() => {
            this.flush();
        }, FLUSH_INTERVAL_MS);
    }

    /** Passes on what waits. */
    public flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.waiting.length > 0) {
            this.sink.write(this.waiting.join("\n") + "\n");
        }
        this.waiting = [];
        this.waitingBytes = 0;
    }

    private admit(line: string): boolean {
        const now = this.now();
        if (now - this.windowBegan >= MS_PER_S) {
            this.windowBegan = now;
            this.windowLines = 0;
        }
        this.windowLines += 1;
        const bytes = this.waitingBytes + this.sink.writableLength + line.length;
        return this.windowLines <= MAX_LINES_PER_S && bytes <= MAX_WAITING_BYTES;
    }
}
