/** Microtask queue turns after which the promises of a callback have settled. */
const SETTLE_TURNS = 12;

/** Lets promises settle, as between two callbacks of a process. */
export async function settlePromises(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
        await Promise.resolve();
    }
}
