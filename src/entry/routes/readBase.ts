/** Section revision that a change is based on, from `If-Match: "12"` or `If-None-Match: *` (0: no section yet). */
export function readBase(ifMatch: string | undefined, ifNoneMatch: string | undefined): number | undefined {
    if (ifMatch === undefined) {
        return ifNoneMatch?.trim() === "*" ? 0 : undefined;
    }
    const digits = /^"?([0-9]{1,15})"?$/.exec(ifMatch.trim())?.[1];
    return digits === undefined ? undefined : Number(digits);
}
