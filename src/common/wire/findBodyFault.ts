/** Maximum nesting depth of lists and maps in a frame. Decoder and checks are recursive, so this bounds their stack. */
const MAX_DEPTH = 96;

const MAJOR_TYPE_SHIFT = 5;
const ARGUMENT_MASK = 0x1f;
const FIRST_SIZED_ARGUMENT = 24;
const LAST_SIZED_ARGUMENT = 27;

const BYTES = 2;
const TEXT = 3;
const LIST = 4;
const MAP = 5;
const TAG = 6;
const SIMPLE = 7;

/** Simple values `false` to `undefined`. */
const FIRST_SIMPLE = 20;
const LAST_SIMPLE = 23;
/** Sized arguments of floating-point numbers. */
const FIRST_FLOAT = 25;

const UINT_32_RANGE = 2 ** 32;
const EARLY_END = "it ends early";

/**
 * Checks that a CBOR body can be decoded in memory proportional to its size, and returns what is wrong with it. Tags
 * are rejected because they make the decoder create other objects. The declared length of a list is compared with the
 * remaining bytes because the decoder allocates the list in advance.
 */
export function findBodyFault(body: Buffer): string | undefined {
    /** Number of remaining items in each open list or map, the innermost last. */
    const remainingItems: number[] = [1];
    let at = 0;
    while (remainingItems.length > 0) {
        const last = remainingItems.length - 1;
        const remaining = remainingItems[last] ?? 0;
        if (remaining === 0) {
            remainingItems.pop();
            continue;
        }
        remainingItems[last] = remaining - 1;
        const initial = body[at] ?? 0;
        const type = initial >> MAJOR_TYPE_SHIFT;
        const argument = initial & ARGUMENT_MASK;
        const fault = findHeadFault(type, argument);
        if (fault !== undefined) {
            return fault;
        }
        const headEnd = at + 1 + sizeOf(argument);
        if (headEnd > body.length) {
            return EARLY_END;
        }
        const length = lengthOf(body, at, type, argument);
        at = headEnd;
        if (length > body.length - at) {
            return EARLY_END;
        }
        if (type === BYTES || type === TEXT) {
            at += length;
        }
        else if (type === LIST || type === MAP) {
            if (remainingItems.length >= MAX_DEPTH) {
                return `it is nested more than ${MAX_DEPTH} levels deep`;
            }
            remainingItems.push(type === MAP ? 2 * length : length);
        }
    }
    return at === body.length ? undefined : "it has bytes after its end";
}

/** Number of argument bytes that follow the initial byte. */
function sizeOf(argument: number): number {
    return argument < FIRST_SIZED_ARGUMENT ? 0 : 1 << argument - FIRST_SIZED_ARGUMENT;
}

function findHeadFault(type: number, argument: number): string | undefined {
    if (type === TAG) {
        return "it has a tag";
    }
    if (argument > LAST_SIZED_ARGUMENT) {
        return "it has an item of indefinite length";
    }
    const known = type !== SIMPLE
        || argument >= FIRST_FLOAT
        || (argument >= FIRST_SIMPLE && argument <= LAST_SIMPLE);
    return known ? undefined : "it has an unassigned simple value";
}

/** Declared length of a string, list or map; 0 for other items. */
function lengthOf(body: Buffer, at: number, type: number, argument: number): number {
    if (type < BYTES || type === SIMPLE) {
        return 0;
    }
    const size = sizeOf(argument);
    if (size === 0) {
        return argument;
    }
    return size === 8
        ? body.readUInt32BE(at + 1) * UINT_32_RANGE + body.readUInt32BE(at + 5)
        : body.readUIntBE(at + 1, size);
}
