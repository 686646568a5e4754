import { createWorkers } from "./createWorkers.js";
import type { Profile } from "./Profile.js";

const KOTUKU_DOMAINS = ["auckland", "hamilton", "wellington"];
const BRNO_DOMAINS = ["brno-north", "brno-south", "vyskov", "znojmo"];

/** Deployments of the first two users. Endpoint speeds differ, because their back ends were bought over many years. */
export const PROFILES: Readonly<Record<string, Profile>> = {
    kotuku: {
        name: "kotuku",
        service: "payout",
        region: "north-island",
        entries: KOTUKU_DOMAINS.map((failureDomain, index) => ({ id: `entry-${index + 1}`, failureDomain })),
        workers: createWorkers(KOTUKU_DOMAINS, [1.6, 1.6, 1.4, 1.2, 1, 1, 1, 0.8, 0.8, 0.6, 0.5]),
        teams: [
            { name: "riggers", demandShare: 0.55 },
            { name: "drivers", demandShare: 0.25 },
            { name: "promoters", demandShare: 0.2 },
        ],
    },
    brno: {
        name: "brno",
        service: "matching",
        region: "south-moravia",
        entries: BRNO_DOMAINS.map((failureDomain, index) => ({ id: `entry-${index + 1}`, failureDomain })),
        workers: createWorkers(BRNO_DOMAINS, [2, 1.5, 1.5, 1.2, 1.2, 1, 1, 0.9, 0.7, 0.7, 0.5]),
        teams: [
            { name: "schools", demandShare: 0.5 },
            { name: "families", demandShare: 0.3 },
            { name: "border", demandShare: 0.2 },
        ],
    },
};
