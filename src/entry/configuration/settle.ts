import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { ConfigurationRows } from "./ConfigurationRows.js";
import type { Settlement } from "./Settlement.js";
import type { WriteToken } from "./WriteToken.js";

const MAX_ROUNDS = 16;

/**
 * Finds out whether the change with this token was applied. The change was conditioned on a revision of the head row:
 * without a token row, it is certainly not applied only once the head row has moved past that revision, so an unmoved
 * head row is written first. Rejects with `store_unavailable` when the store cannot be used.
 */
export async function settle(rows: ConfigurationRows, token: WriteToken): Promise<Settlement> {
    for (let round = 0; round < MAX_ROUNDS; round++) {
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
    throw new Fault(FaultCode.StoreUnavailable, "the head row keeps moving", Verdict.MayHaveRun);
}
