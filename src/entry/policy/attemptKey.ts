/** Returns the key that identifies an attempt within its entry. */
export function attemptKey(
    attempt: { readonly job: string; readonly task: number; readonly attempt: number; },
): string {
    return `${attempt.job}/${attempt.task}/${attempt.attempt}`;
}
