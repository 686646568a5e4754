import * as z from "zod/mini";
import { listenAddress } from "./listenAddress.js";
import { processName } from "./processName.js";

const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;

/** Settings of the endpoint stub. */
export const EndpointSettings = z.strictObject({
    service: processName,
    http: listenAddress,
    /** Base URL of the agent's announcement address. */
    agent: z.url(),
    slots: z._default(z.int().check(z.minimum(1)), DEFAULT_SLOTS),
    connections: z._default(z.int().check(z.minimum(1)), DEFAULT_CONNECTIONS),
    /** Speed of the simulated machine: run times are divided by it. */
    speed: z._default(z.number().check(z.positive()), 1),
    /** Share of tasks that fail with status 500. */
    failureShare: z._default(z.number().check(z.minimum(0), z.maximum(1)), 0),
    /** Share of tasks that are never answered. */
    silentShare: z._default(z.number().check(z.minimum(0), z.maximum(1)), 0),
    /** Share of tasks that run `stragglerFactor` times longer. */
    stragglerShare: z._default(z.number().check(z.minimum(0), z.maximum(1)), 0),
    stragglerFactor: z._default(z.number().check(z.minimum(1)), 20),
    seed: z._default(z.int(), 1),
});

export type EndpointSettings = z.infer<typeof EndpointSettings>;
