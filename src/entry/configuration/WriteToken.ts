import { randomBytes } from "node:crypto";

const TOKEN_BYTES = 8;

/** Identity of one attempt to change the configuration. */
export interface WriteToken {
    readonly id: string;
    /** Revision of the row `config/head` that the attempt was conditioned on. */
    readonly headRow: number;
}

export const WriteToken = {
    create(headRow: number): WriteToken {
        return { id: randomBytes(TOKEN_BYTES).toString("hex"), headRow };
    },

    format(token: WriteToken): string {
        return `${token.id}-${token.headRow}`;
    },

    parse(text: string): WriteToken | undefined {
        const match = /^([0-9a-f]{16})-([0-9]{1,15})$/.exec(text);
        return match?.[1] === undefined ? undefined : { id: match[1], headRow: Number(match[2]) };
    },
};
