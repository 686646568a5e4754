import assert from "node:assert/strict";

const WAIT_LIMIT_MS = 40_000;
const POLL_MS = 10;

/** Resolves when `condition` holds; fails with `what` after a generous limit. */
export async function until(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
    const end = performance.now() + WAIT_LIMIT_MS;
    while (!await condition()) {
        assert.ok(performance.now() < end, `timed out waiting for ${what}`);
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
