import type { Disposable } from "./Disposable.js";

/** Releases everything registered with it, newest first. */
export class DisposableStore implements Disposable {
    private items: Disposable[] = [];
    private disposed = false;

    /** Registers `item`; an already disposed store releases it at once. */
    public add<T extends Disposable>(item: T): T {
        if (this.disposed) {
            item.dispose();
        }
        else {
            this.items.push(item);
        }
        return item;
    }

    public dispose(): void {
        this.disposed = true;
        const items = this.items.reverse();
        this.items = [];
        for (const item of items) {
            item.dispose();
        }
    }
}
