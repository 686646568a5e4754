import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { MemberRows } from "../MemberRows.js";

/** Tells from the member rows whether the incarnation that issued a ticket is live. */
export class IssuerWatch {
    constructor(private readonly members: Pick<MemberRows, "rows" | "onChange">) {}

    /** True while the issuer is a live member of this region, also while it drains. */
    public isLive(issuer: string): boolean {
        return this.members.rows().some(row => row.incarnation === issuer);
    }

    /** Waits for `work`, but rejects with `issuer_lost` as soon as the issuer, live at first, is a member no more. */
    public async whileLive<T>(issuer: string, work: Promise<T>): Promise<T> {
        if (!this.isLive(issuer)) {
            return work;
        }
        let stop: () => void = () => undefined;
        const gone = new Promise<never>((_resolve, reject) => {
            const registration = this.members.onChange(() => {
                if (!this.isLive(issuer)) {
                    const message = "the issuer of the ticket is no live member any more";
                    reject(new Fault(FaultCode.IssuerLost, message, Verdict.MayHaveRun));
                }
            });
            stop = () => {
                registration.dispose();
            };
        });
        return Promise.race([work, gone]).finally(stop);
    }
}
