import { CallDelivery } from "./CallDelivery.js";
import type { FaultProfile } from "./FaultProfile.js";

/** Faults of all kinds, with short runs. */
const USUAL: FaultProfile = {
    submitEveryMs: 60,
    budgetMs: 1500,
    faultyCallShare: 0.08,
    fates: [CallDelivery.AnswerLost, CallDelivery.Lost, CallDelivery.Delayed],
    late: { leastMs: 2500, mostMs: 2500 },
    callsOutliveLives: false,
    refusesWhileDown: false,
    down: { leastMs: 500, mostMs: 500 },
    faultShare: 0.05,
    longRunShare: 0,
    longRun: { leastMs: 900, mostMs: 2900 },
    stopsHeldMs: 0,
    stopPeriodMs: 3000,
    clockRate: 1,
};

/** Connections that are reset, calls that are a little late or very late, long runs, and clocks that are 2% slow. */
const RESETS: FaultProfile = {
    ...USUAL,
    submitEveryMs: 150,
    budgetMs: 4000,
    faultyCallShare: 0.15,
    fates: [...USUAL.fates, CallDelivery.ConnectionReset, CallDelivery.AnswerReset],
    late: { leastMs: 20, mostMs: 3000 },
    refusesWhileDown: true,
    longRunShare: 0.3,
    clockRate: 0.98,
};

/** Faults that a play draws from, by name. */
export const FAULT_PROFILES = {
    usual: USUAL,
    resets: RESETS,
    /** Endpoints that start again under their id within moments, while calls to their earlier lives are under way. */
    rebirths: {
        ...RESETS,
        callsOutliveLives: true,
        down: { leastMs: 0, mostMs: 600 },
        faultShare: 0.12,
    },
    /** Endpoints that carry stops out up to 2 s later, while looks renew the lease of the runs. */
    heldStops: { ...RESETS, faultyCallShare: 0.02, stopsHeldMs: 2000 },
} as const satisfies Record<string, FaultProfile>;
