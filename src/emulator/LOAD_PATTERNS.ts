import type { LoadPattern } from "./LoadPattern.js";

const KINDS = [
    { share: 34.4, tasks: 8, priority: 0, meanMs: 73, worth: 0.0291 },
    { share: 6.25, tasks: 4, priority: 2, meanMs: 1086, worth: 0.16 },
    { share: 100, tasks: 2, priority: 1, meanMs: 243, worth: 0.01 },
] as const;

/** Eleven endpoints of which three take twice the time of the others. */
const ELEVEN = [0.8, 0.8, 0.8, 1, 1, 1, 0.8, 0.8, 1.8, 1.8, 1.8] as const;

const BASE: LoadPattern = {
    entries: 4,
    lengthMs: 6000,
    slowness: ELEVEN,
    utilisation: () => 0.6,
    kinds: KINDS,
};

/** Endpoints of a grown deployment. */
const MESH_ENDPOINTS = 52;

/** Every fourth endpoint takes more than twice the time of the others. */
const MESH_SLOWNESS = Array.from({ length: MESH_ENDPOINTS }, (_, number) => number % 4 === 0 ? 1.8 : 0.85);

/** Endpoints, entries and callers of a large deployment. */
const LARGE = { endpoints: 160, entries: 35, callers: 51 } as const;

const LARGE_SLOWNESS = Array.from({ length: LARGE.endpoints }, (_, number) => number % 4 === 0 ? 1.8 : 0.85);

/** Patterns of load that the dispatching has to serve. */
export const LOAD_PATTERNS = {
    /** An ordinary hour. */
    steady: BASE,
    /** Demand above what the endpoints can do for two seconds. */
    crest: { ...BASE, utilisation: atMs => atMs > 1500 && atMs < 3500 ? 1.3 : 0.7 },
    /** Callers come back all at once after an outage: more than can be done, for three seconds. */
    recovery: { ...BASE, utilisation: atMs => atMs < 500 ? 2.5 : atMs < 3500 ? 1.1 : 0.6 },
    /** Eight entries that see the room of many endpoints late, because reports are bounded, near the crest of a wave. */
    mesh: { ...BASE, entries: 8, lengthMs: 1500, slowness: MESH_SLOWNESS, utilisation: () => 0.85 },
    /** Entries with a bounded number of agents, some with several times the callers of others, near the crest of a wave. */
    skew: {
        ...BASE,
        entries: LARGE.entries,
        callers: LARGE.callers,
        lengthMs: 1500,
        slowness: LARGE_SLOWNESS,
        utilisation: () => 0.85,
    },
} as const satisfies Record<string, LoadPattern>;
