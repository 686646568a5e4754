import type { Disposable } from "./Disposable.js";

/** Bounded message queue. Messages are handled one at a time, in order, and never inside `post`. */
export class Mailbox<M> implements Disposable {
    private queue: M[] = [];
    private scheduled = false;
    private disposed = false;

    constructor(
        private readonly capacity: number,
        private readonly handle: (message: M) => void,
    ) {}

    /** Queues a message. Returns false, and drops the message, when the mailbox is full or disposed. */
    public post(message: M): boolean {
        if (this.disposed || this.queue.length >= this.capacity) {
            return false;
        }
        this.queue.push(message);
        if (!this.scheduled) {
            this.scheduled = true;
            queueMicrotask(() => {
                this.drain();
            });
        }
        return true;
    }

    public dispose(): void {
        this.disposed = true;
        this.queue = [];
    }

    private drain(): void {
        this.scheduled = false;
        const batch = this.queue;
        this.queue = [];
        for (const message of batch) {
            if (this.disposed) {
                return;
            }
            this.handle(message);
        }
    }
}
