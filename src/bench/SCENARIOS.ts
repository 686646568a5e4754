import { InjectedFault } from "./InjectedFault.js";
import type { Scenario } from "./Scenario.js";
import type { TaskMix } from "./TaskMix.js";

const USUAL_MIX: TaskMix = {
    classes: [
        { share: 0.3, minMs: 50, maxMs: 100 },
        { share: 0.64, minMs: 100, maxMs: 1000 },
        { share: 0.06, minMs: 2000, maxMs: 5000 },
    ],
    stragglerShare: 0.002,
    stragglerFactor: 10,
};

/** Half of the work is long, so that long tasks alone could fill every slot for seconds. */
const LONG_MIX: TaskMix = {
    classes: [
        { share: 0.8, minMs: 50, maxMs: 100 },
        { share: 0.2, minMs: 2000, maxMs: 6000 },
    ],
    stragglerShare: 0,
    stragglerFactor: 1,
};

const STEADY = {
    phases: [{ load: 0.7, durationMs: 45_000 }],
    warmupMs: 10_000,
    mix: USUAL_MIX,
    deadlineMs: 60_000,
    injection: InjectedFault.None,
    injectAtMs: 0,
};

/** Scenarios by name. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
    steady: { ...STEADY, name: "steady" },
    crest: {
        ...STEADY,
        name: "crest",
        phases: [
            { load: 0.7, durationMs: 15_000 },
            { load: 3, durationMs: 10_000 },
            { load: 0.7, durationMs: 15_000 },
        ],
        warmupMs: 5000,
        mix: { ...USUAL_MIX, stragglerShare: 0 },
        deadlineMs: 10_000,
    },
    mixed: { ...STEADY, name: "mixed", mix: LONG_MIX },
    sick: { ...STEADY, name: "sick", injection: InjectedFault.FailingWorker, injectAtMs: 15_000 },
    silent: {
        ...STEADY,
        name: "silent",
        injection: InjectedFault.SilentWorker,
        injectAtMs: 15_000,
        deadlineMs: 20_000,
    },
    killworker: { ...STEADY, name: "killworker", injection: InjectedFault.KilledWorker, injectAtMs: 15_000 },
    killentry: { ...STEADY, name: "killentry", injection: InjectedFault.KilledEntry, injectAtMs: 15_000 },
};
