/** Tells whether a failed dial proves that no process listens at the address. `dial` states the cause in its text. */
export function isRefused(error: unknown): boolean {
    return error instanceof Error && error.message.includes("ECONNREFUSED");
}
