/** Fault that a scenario brings about while the load runs. */
export const Injection = {
    None: "none",
    /** One worker fails every task. */
    SickWorker: "sick-worker",
    /** One worker takes tasks and never answers. */
    SilentWorker: "silent-worker",
    /** One worker and its agent die. */
    KilledWorker: "killed-worker",
    /** The entry that holds the queue dies. */
    KilledEntry: "killed-entry",
} as const;

export type Injection = typeof Injection[keyof typeof Injection];
