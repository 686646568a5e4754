import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { ConfigurationRows } from "./ConfigurationRows.js";
import type { ResolvedChange } from "./ResolvedChange.js";
import type { WriteToken } from "./WriteToken.js";

const MAX_ATTEMPTS = 16;

/**
 * Determines whether the change with this token was applied. The change was conditioned on a revision of the head row.
 * Without a token row, it may still be applied until the head row has a later revision, so an unchanged head row is
 * rewritten first. Rejects with `store_unavailable` when the store is unavailable.
 */
export async function resolveChange(rows: ConfigurationRows, token: WriteToken): Promise<ResolvedChange> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        const head = await rows.readHead();
        const revision = await rows.readToken(token);
        if (revision === "forgotten") {
            return { kind: "forgotten" };
        }
        if (revision !== undefined) {
            return { kind: "applied", revision };
        }
        if (head.row > token.headRow) {
            return { kind: "not_applied" };
        }
        await rows.fence(head);
    }
    throw new Fault(
        FaultCode.StoreUnavailable,
        "the head row kept changing; outcome of the change unknown",
        Verdict.MayHaveRun,
    );
}
