import { Emitter } from "../common/Emitter.js";
import { newIncarnation } from "../common/newIncarnation.js";
import type { Identity } from "../common/wire/Identity.js";

/** Identity of this entry. Its incarnation is replaced when an agent has fenced the current one. */
export class EntryIdentity {
    private readonly renewals = new Emitter<Identity>();
    private identity: Identity;

    /** Fires with the new identity; open channels still carry the old one and must be replaced. */
    public readonly onRenew = this.renewals.event;

    constructor(identity: Omit<Identity, "incarnation" | "role">) {
        this.identity = { ...identity, role: "entry", incarnation: newIncarnation() };
    }

    public get current(): Identity {
        return this.identity;
    }

    /** Creates a new incarnation; tickets of the old one can no longer start tasks. */
    public renew(): Identity {
        this.identity = { ...this.identity, incarnation: newIncarnation() };
        this.renewals.fire(this.identity);
        return this.identity;
    }
}
