/** Binary min-heap of distinct items whose keys can change; no operation takes more than O(log n). */
export class IndexedHeap<T> {
    private readonly items: T[] = [];
    private readonly keys: number[] = [];
    private readonly positions = new Map<T, number>();

    public get size(): number {
        return this.items.length;
    }

    public has(item: T): boolean {
        return this.positions.has(item);
    }

    public peek(): T | undefined {
        return this.items[0];
    }

    /** Smallest key, or Infinity when the heap is empty. */
    public peekKey(): number {
        return this.keys[0] ?? Infinity;
    }

    public keyOf(item: T): number | undefined {
        const position = this.positions.get(item);
        return position === undefined ? undefined : this.keys[position];
    }

    /** Inserts the item or changes its key. */
    public set(item: T, key: number): void {
        const position = this.positions.get(item) ?? this.items.length;
        this.place(item, key, position);
        this.siftUp(position);
        this.siftDown(this.positions.get(item) ?? position);
    }

    public delete(item: T): boolean {
        const position = this.positions.get(item);
        if (position === undefined) {
            return false;
        }
        this.positions.delete(item);
        const lastItem = this.items.pop();
        const lastKey = this.keys.pop();
        if (position < this.items.length && lastItem !== undefined && lastKey !== undefined) {
            this.place(lastItem, lastKey, position);
            this.siftUp(position);
            this.siftDown(this.positions.get(lastItem) ?? position);
        }
        return true;
    }

    /** Removes and returns the first item when its key is at most `limit`. */
    public popUpTo(limit: number): T | undefined {
        const item = this.items[0];
        if (item === undefined || this.peekKey() > limit) {
            return undefined;
        }
        this.delete(item);
        return item;
    }

    private siftUp(start: number): void {
        let position = start;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            if (this.keyAt(parent) <= this.keyAt(position)) {
                return;
            }
            this.swap(position, parent);
            position = parent;
        }
    }

    private siftDown(start: number): void {
        let position = start;
        for (;;) {
            const left = 2 * position + 1;
            const child = this.keyAt(left + 1) < this.keyAt(left) ? left + 1 : left;
            if (child >= this.items.length || this.keyAt(position) <= this.keyAt(child)) {
                return;
            }
            this.swap(position, child);
            position = child;
        }
    }

    private keyAt(position: number): number {
        return this.keys[position] ?? Infinity;
    }

    private swap(a: number, b: number): void {
        const item = this.items[a] as T;
        const key = this.keyAt(a);
        this.place(this.items[b] as T, this.keyAt(b), a);
        this.place(item, key, b);
    }

    private place(item: T, key: number, position: number): void {
        this.items[position] = item;
        this.keys[position] = key;
        this.positions.set(item, position);
    }
}
