import type { WorkerProfile } from "./WorkerProfile.js";

const WORKERS_PER_RACK = 3;
const SLOTS = 8;
const CONNECTIONS = 64;

/** Creates one worker for each speed, in racks of three; racks are placed in the failure domains in turn. */
export function createWorkers(failureDomains: readonly string[], speeds: readonly number[]): WorkerProfile[] {
    return speeds.map((speed, index) => {
        const rack = Math.floor(index / WORKERS_PER_RACK);
        return {
            id: `worker-${index + 1}`,
            rack: `rack-${rack + 1}`,
            failureDomain: failureDomains[rack % failureDomains.length] ?? "",
            slots: SLOTS,
            connections: CONNECTIONS,
            speed,
        };
    });
}
