/** Limit on the total size of the request bodies that are being received. */
export class BodyBudget {
    private used = 0;

    constructor(private readonly maxBytes: number) {}

    /** Reserves bytes; returns false when they would exceed the budget. */
    public reserve(bytes: number): boolean {
        if (this.used + bytes > this.maxBytes) {
            return false;
        }
        this.used += bytes;
        return true;
    }

    public release(bytes: number): void {
        this.used -= bytes;
    }
}
