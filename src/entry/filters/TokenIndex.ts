import { createHash, timingSafeEqual } from "node:crypto";
import type { EntrySettings } from "../../common/settings/EntrySettings.js";
import type { Principal } from "../Principal.js";

const SCHEME = "Bearer ";

/** Finds the principal of a Bearer token; every configured token is compared in constant time. */
export class TokenIndex {
    private readonly holders: readonly { readonly digest: Buffer; readonly principal: Principal; }[];

    constructor(tokens: EntrySettings["tokens"]) {
        this.holders = tokens.map(({ token, team, role }) => ({ digest: digestOf(token), principal: { team, role } }));
    }

    /** Returns the principal for an `Authorization` header, or undefined when its token is missing or unknown. */
    public find(header: string | undefined): Principal | undefined {
        const given = digestOf(header?.startsWith(SCHEME) === true ? header.slice(SCHEME.length) : "");
        const matches = this.holders.filter(({ digest }) => timingSafeEqual(digest, given));
        return matches[0]?.principal;
    }
}

function digestOf(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
