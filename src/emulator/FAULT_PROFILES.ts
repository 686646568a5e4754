import { CallDelivery } from "./CallDelivery.js";
import type { FaultProfile } from "./FaultProfile.js";
import type { PlannedEndProfile } from "./PlannedEndProfile.js";

/** Lost responses, lost and delayed calls, crashes, partitions and closed connections, with short runs. */
const USUAL: FaultProfile = {
    entries: 2,
    agents: 3,
    failureDomains: 1,
    submitEveryMs: 60,
    budgetMs: 1500,
    faultyCallShare: 0.08,
    faultyDeliveries: [CallDelivery.AnswerLost, CallDelivery.Lost, CallDelivery.Delayed],
    deliveryDelay: { leastMs: 2500, mostMs: 2500 },
    acceptsCallsToEarlierIncarnations: false,
    refusesWhileDown: false,
    resetsConnectionsAtCrash: false,
    downtime: { leastMs: 500, mostMs: 500 },
    faultShare: 0.05,
    longRunShare: 0,
    longRun: { leastMs: 900, mostMs: 2900 },
    stopDelayMs: 0,
    stopPeriodMs: 3000,
    clockRate: 1,
    plannedEnds: undefined,
    stalls: undefined,
};

/** Connection resets, calls delayed by 20 ms to 3 s, long runs, and clocks that are 2% slow. */
const RESETS: FaultProfile = {
    ...USUAL,
    submitEveryMs: 150,
    budgetMs: 4000,
    faultyCallShare: 0.15,
    faultyDeliveries: [...USUAL.faultyDeliveries, CallDelivery.ConnectionReset, CallDelivery.AnswerReset],
    deliveryDelay: { leastMs: 20, mostMs: 3000 },
    refusesWhileDown: true,
    longRunShare: 0.3,
    clockRate: 0.98,
};

const LEAVING_ENDS: PlannedEndProfile = {
    share: 0.06,
    drain: { leastMs: 0, mostMs: 1500 },
    lostAckShare: 0.5,
    acknowledgedEnd: { leastMs: 0, mostMs: 20 },
    unacknowledgedEnd: { leastMs: 200, mostMs: 3000 },
    endpointDowntime: { leastMs: 200, mostMs: 2500 },
    processDowntime: { leastMs: 50, mostMs: 900 },
    agentsInSeries: 3,
    agentSpacing: { leastMs: 0, mostMs: 400 },
    agentGrace: { leastMs: 0, mostMs: 1500 },
};

/**
 * Endpoints that drain, deregister and may go on for seconds, agents that stop in series, entries that are killed: all
 * start again soon, across four failure domains.
 */
const LEAVING: FaultProfile = {
    ...RESETS,
    entries: 4,
    agents: 6,
    failureDomains: 4,
    submitEveryMs: 60,
    faultyCallShare: 0.04,
    resetsConnectionsAtCrash: true,
    plannedEnds: LEAVING_ENDS,
};

/** Fault profiles by name. */
export const FAULT_PROFILES = {
    usual: USUAL,
    resets: RESETS,
    /** Endpoints that restart under their id within 600 ms, while calls to their earlier incarnations are in flight. */
    rebirths: {
        ...RESETS,
        acceptsCallsToEarlierIncarnations: true,
        downtime: { leastMs: 0, mostMs: 600 },
        faultShare: 0.12,
    },
    /** Endpoints that execute stops up to 2 s late, while polls go on renewing the lease of the runs. */
    heldStops: { ...RESETS, faultyCallShare: 0.02, stopDelayMs: 2000 },
    leaving: LEAVING,
    /**
     * Entries and agents that stand still for up to 3 s, singly and in groups, or that are always late, and callers that
     * submit again elsewhere meanwhile, beside some of the ends of `leaving`.
     */
    stalls: {
        ...LEAVING,
        faultyCallShare: 0.01,
        faultShare: 0.01,
        longRunShare: 0.4,
        plannedEnds: { ...LEAVING_ENDS, share: 0.02 },
        stalls: {
            share: 0.04,
            duration: { leastMs: 100, mostMs: 3000 },
            mostInGroup: 5,
            mostCallbacksBefore: 8,
            impatientShare: 0.7,
            lateShare: 0.2,
            turn: { leastMs: 5, mostMs: 100 },
        },
    },
} as const satisfies Record<string, FaultProfile>;
