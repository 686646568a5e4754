import type { LoadPattern } from "./LoadPattern.js";

const KINDS = [
    { share: 34.4, tasks: 8, priority: 0, medianMs: 73, worth: 0.0291 },
    { share: 6.25, tasks: 4, priority: 2, medianMs: 1086, worth: 0.16 },
    { share: 100, tasks: 2, priority: 1, medianMs: 243, worth: 0.01 },
] as const;

/** Eleven endpoints, of which three take about twice the time of the others. */
const BASE_SLOWNESS = [0.8, 0.8, 0.8, 1, 1, 1, 0.8, 0.8, 1.8, 1.8, 1.8] as const;

const BASE: LoadPattern = {
    entries: 4,
    lengthMs: 6000,
    slowness: BASE_SLOWNESS,
    utilisation: () => 0.6,
    kinds: KINDS,
};

/** Number of endpoints of a medium deployment. */
const MESH_ENDPOINTS = 52;

/** Every fourth endpoint takes more than twice the time of the others. */
const MESH_SLOWNESS = Array.from({ length: MESH_ENDPOINTS }, (_, number) => number % 4 === 0 ? 1.8 : 0.85);

/** Numbers of endpoints, entries and callers of a large deployment. */
const LARGE = { endpoints: 160, entries: 35, callers: 51 } as const;

const LARGE_SLOWNESS = Array.from({ length: LARGE.endpoints }, (_, number) => number % 4 === 0 ? 1.8 : 0.85);

/** Load patterns by name. */
export const LOAD_PATTERNS = {
    /** Constant load below capacity. */
    steady: BASE,
    /** Demand of 1.3 times the capacity for two seconds. */
    crest: { ...BASE, utilisation: atMs => atMs > 1500 && atMs < 3500 ? 1.3 : 0.7 },
    /** All callers return at once after an outage: 2.5 times the capacity for 0.5 s, then 1.1 times for 3 s. */
    recovery: { ...BASE, utilisation: atMs => atMs < 500 ? 2.5 : atMs < 3500 ? 1.1 : 0.6 },
    /** High load on eight entries with many endpoints. Reports are bounded, so entries see free capacity late. */
    mesh: { ...BASE, entries: 8, lengthMs: 1500, slowness: MESH_SLOWNESS, utilisation: () => 0.85 },
    /** High load on entries with a bounded number of agents, some of them with several times the callers of others. */
    skew: {
        ...BASE,
        entries: LARGE.entries,
        callers: LARGE.callers,
        lengthMs: 1500,
        slowness: LARGE_SLOWNESS,
        utilisation: () => 0.85,
    },
} as const satisfies Record<string, LoadPattern>;
