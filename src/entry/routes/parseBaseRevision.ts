/** Section revision that a change is based on: from `If-Match: "12"`, or 0 (no section yet) for `If-None-Match: *`. */
export function parseBaseRevision(ifMatch: string | undefined, ifNoneMatch: string | undefined): number | undefined {
    if (ifMatch === undefined) {
        return ifNoneMatch?.trim() === "*" ? 0 : undefined;
    }
    const digits = /^"?([0-9]{1,15})"?$/.exec(ifMatch.trim())?.[1];
    return digits === undefined ? undefined : Number(digits);
}
