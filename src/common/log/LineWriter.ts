/** Interval between writes. Lines are buffered in between, so that a busy process makes few system calls. */
const FLUSH_INTERVAL_MS = 200;

/** Maximum number of bytes buffered here and in the stream; further lines are dropped. */
const MAX_BUFFERED_BYTES = 512 * 1024;

/** Maximum number of lines per second, so that the volume stays bounded under load. */
const MAX_LINES_PER_S = 600;

const MS_PER_S = 1000;

/** Output stream that does not block; `writableLength` is the number of bytes that it still buffers. */
interface Sink {
    readonly writableLength: number;
    write(text: string): unknown;
}

/** Buffered writer of log lines that never waits for its reader. Lines over a limit are dropped and counted. */
export class LineWriter {
    private buffered: string[] = [];
    private bufferedBytes = 0;
    private dropped = 0;
    private windowStart = 0;
    private windowLines = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly sink: Sink, private readonly now: () => number = () => performance.now()) {}

    /** Number of lines dropped since the start of the process. */
    public get droppedLines(): number {
        return this.dropped;
    }

    public write(line: string): void {
        if (!this.admit(line)) {
            this.dropped += 1;
            return;
        }
        this.buffered.push(line);
        this.bufferedBytes += line.length + 1;
        this.timer ??= setTimeout(() => {
            this.flush();
        }, FLUSH_INTERVAL_MS);
    }

    /** Writes the buffered lines. */
    public flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.buffered.length > 0) {
            this.sink.write(this.buffered.join("\n") + "\n");
        }
        this.buffered = [];
        this.bufferedBytes = 0;
    }

    private admit(line: string): boolean {
        const now = this.now();
        if (now - this.windowStart >= MS_PER_S) {
            this.windowStart = now;
            this.windowLines = 0;
        }
        this.windowLines += 1;
        const bytes = this.bufferedBytes + this.sink.writableLength + line.length;
        return this.windowLines <= MAX_LINES_PER_S && bytes <= MAX_BUFFERED_BYTES;
    }
}
