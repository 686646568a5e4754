/**
 * Maximum nesting depth of a JSON body. Later processing is recursive, and frames between processes allow slightly
 * deeper nesting.
 */
const MAX_JSON_DEPTH = 64;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPEN_LIST = 0x5b;
const OPEN_MAP = 0x7b;
const CLOSE_LIST = 0x5d;
const CLOSE_MAP = 0x7d;

/** Field name that cannot be transferred unchanged between processes. */
const RESERVED_KEY = "__proto__";

/** Matches text that may contain the reserved key, also where its underscores are escaped. */
const RESERVED_TEXT = /__proto__|\\u005f/i;

/** Returns why a JSON text is rejected although it may be valid JSON, or undefined when it is accepted. */
export function findJsonFault(text: string): string | undefined {
    if (isDeeperThan(text, MAX_JSON_DEPTH)) {
        return `body is nested more than ${MAX_JSON_DEPTH} levels deep`;
    }
    return RESERVED_TEXT.test(text) && hasReservedKey(text) ? `body has a field ${RESERVED_KEY}` : undefined;
}

function isDeeperThan(text: string, limit: number): boolean {
    let depth = 0;
    let quoted = false;
    for (let at = 0; at < text.length; at += 1) {
        const code = text.charCodeAt(at);
        if (quoted) {
            at += code === BACKSLASH ? 1 : 0;
            quoted = code !== QUOTE;
        }
        else if (code === QUOTE) {
            quoted = true;
        }
        else if (code === OPEN_LIST || code === OPEN_MAP) {
            depth += 1;
            if (depth > limit) {
                return true;
            }
        }
        else if (code === CLOSE_LIST || code === CLOSE_MAP) {
            depth -= 1;
        }
    }
    return false;
}

function hasReservedKey(text: string): boolean {
    let found = false;
    JSON.parse(text, (key: string, value: unknown) => {
        found ||= key === RESERVED_KEY;
        return value;
    });
    return found;
}
