import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { MemberRows } from "../MemberRows.js";

/** Determines from the member rows whether the issuer of a ticket is live. */
export class IssuerLiveness {
    constructor(private readonly members: Pick<MemberRows, "rows" | "onChange">) {}

    /** True while the issuing incarnation is a live member of this region, even while it drains. */
    public isLive(issuer: string): boolean {
        return this.members.rows().some(row => row.incarnation === issuer);
    }

    /** Waits for `work`; rejects with `issuer_lost` if the issuer is live at first and then leaves the members. */
    public async whileLive<T>(issuer: string, work: Promise<T>): Promise<T> {
        if (!this.isLive(issuer)) {
            return work;
        }
        let stop: () => void = () => undefined;
        const lost = new Promise<never>((_resolve, reject) => {
            const registration = this.members.onChange(() => {
                if (!this.isLive(issuer)) {
                    const message = "the issuer of the ticket is no longer a live member";
                    reject(new Fault(FaultCode.IssuerLost, message, Verdict.MayHaveRun));
                }
            });
            stop = () => {
                registration.dispose();
            };
        });
        return Promise.race([work, lost]).finally(stop);
    }
}
