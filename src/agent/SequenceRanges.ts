/** Maximum number of ranges per issuer; 512 ranges take about 8 KB. */
const MAX_RANGES = 512;

interface Range {
    first: number;
    last: number;
}

/**
 * Bounded set of sequence numbers, stored as ranges. Above the bound it merges the two lowest ranges, so that it may
 * contain numbers that were never added but never loses one.
 */
export class SequenceRanges {
    private readonly ranges: Range[] = [];

    public add(sequence: number): void {
        const index = this.indexOf(sequence);
        const next = this.ranges[index];
        if (next !== undefined && next.first <= sequence) {
            return;
        }
        const previous = this.ranges[index - 1];
        const joinsPrevious = previous?.last === sequence - 1;
        const joinsNext = next?.first === sequence + 1;
        if (joinsPrevious && joinsNext) {
            previous.last = next.last;
            this.ranges.splice(index, 1);
        }
        else if (joinsPrevious) {
            previous.last = sequence;
        }
        else if (joinsNext) {
            next.first = sequence;
        }
        else {
            this.ranges.splice(index, 0, { first: sequence, last: sequence });
        }
        this.shrink();
    }

    public has(sequence: number): boolean {
        const range = this.ranges[this.indexOf(sequence)];
        return range !== undefined && range.first <= sequence;
    }

    /** Position of the first range that ends at or after `sequence`. */
    private indexOf(sequence: number): number {
        let low = 0;
        let high = this.ranges.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if ((this.ranges[middle]?.last ?? 0) < sequence) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }

    private shrink(): void {
        const [lowest, second] = this.ranges;
        if (this.ranges.length > MAX_RANGES && lowest !== undefined && second !== undefined) {
            lowest.last = second.last;
            this.ranges.splice(1, 1);
        }
    }
}
