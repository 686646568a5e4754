import assert from "node:assert/strict";

const WAIT_LIMIT_MS = 40_000;
const POLL_MS = 10;

/** Waits until `condition` holds; after `WAIT_LIMIT_MS` it fails and names `what` it waited for. */
export async function until(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = performance.now() + WAIT_LIMIT_MS;
    while (!await condition()) {
        assert.ok(performance.now() < deadline, `timed out waiting for ${what}`);
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
