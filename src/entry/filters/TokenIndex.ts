import { createHash, timingSafeEqual } from "node:crypto";
import type { EntrySettings } from "../../common/settings/EntrySettings.js";
import type { Principal } from "../Principal.js";

const SCHEME = "Bearer ";

/** Finds the holder of a Bearer token; every configured token is compared in constant time. */
export class TokenIndex {
    private readonly known: readonly { readonly digest: Buffer; readonly principal: Principal; }[];

    constructor(tokens: EntrySettings["tokens"]) {
        this.known = tokens.map(({ token, team, role }) => ({ digest: digestOf(token), principal: { team, role } }));
    }

    /** Returns the holder named by an `Authorization` header, or undefined when the token is missing or unknown. */
    public find(header: string | undefined): Principal | undefined {
        const given = digestOf(header?.startsWith(SCHEME) === true ? header.slice(SCHEME.length) : "");
        const matches = this.known.filter(({ digest }) => timingSafeEqual(digest, given));
        return matches[0]?.principal;
    }
}

function digestOf(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
