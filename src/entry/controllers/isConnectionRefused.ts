/** Returns true if a failed dial proves that no process listens at the address; `dial` has the cause in its message. */
export function isConnectionRefused(error: unknown): boolean {
    return error instanceof Error && error.message.includes("ECONNREFUSED");
}
