/** Fault that a scenario injects while the load runs. */
export const InjectedFault = {
    None: "none",
    /** One worker fails every task. */
    FailingWorker: "sick-worker",
    /** One worker accepts tasks and never responds. */
    SilentWorker: "silent-worker",
    /** One worker and its agent are stopped without a drain. */
    KilledWorker: "killed-worker",
    /** The home entry, which has the queue of the service, is stopped without a drain. */
    KilledEntry: "killed-entry",
} as const;

export type InjectedFault = typeof InjectedFault[keyof typeof InjectedFault];
