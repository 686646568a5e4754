import { type Either, Left, Right } from "purify-ts/Either";
import type { Clock } from "../common/Clock.js";
import { FaultCode } from "../common/FaultCode.js";
import { Verdict } from "../common/Verdict.js";
import type { EntryClient } from "./EntryClient.js";
import type { EntryError } from "./EntryError.js";

/** Time in milliseconds for which the outcome of a change is requested; the operator may use the token again later. */
const LIMIT_MS = 30_000;
const PAUSE_MS = 500;

type Client = Pick<EntryClient, "changeOutcome">;

/**
 * Requests the outcome of a change from the entries in turn. Returns its revision when it was applied, an error when it
 * was not, or the last error when no entry knew its outcome in time.
 */
export async function resolveChange(
    clients: readonly Client[],
    token: string,
    clock: Clock,
): Promise<Either<EntryError, { readonly revision: number | undefined; readonly verdict: Verdict; }>> {
    const limitAt = clock.now() + LIMIT_MS;
    for (let round = 0;; round += 1) {
        const client = clients[round % clients.length];
        if (client === undefined) {
            throw new RangeError("a change needs at least one entry");
        }
        const result = await client.changeOutcome(token);
        const error = result.swap().toMaybe().extract();
        const undecided = error !== undefined && (error.unreachable || error.code === FaultCode.StoreUnavailable);
        if (!undecided || clock.now() >= limitAt) {
            return result.mapLeft(fault => ({ ...fault, token })).chain(({ kind, revision, verdict }) => {
                return kind === "applied" ? Right({ revision, verdict }) : Left(notApplied());
            });
        }
        await new Promise<void>(resolve => clock.schedule(PAUSE_MS, resolve));
    }
}

function notApplied(): EntryError {
    const message = "the change was not applied and can no longer take effect; send it again";
    return { unreachable: false, code: FaultCode.StoreUnavailable, message, verdict: Verdict.NotRun };
}
