import type { LinkCountTarget } from "../agent/leased/LinkCountTarget.js";
import type { Clock } from "../common/Clock.js";
import type { Log } from "../common/log/Log.js";
import type { CallDelivery } from "./CallDelivery.js";
import type { EmulatedProcess } from "./EmulatedProcess.js";
import type { EndpointCallKind } from "./EndpointCallKind.js";

/** What an emulated deployment consists of, and how its parts behave. */
export interface DeploymentOptions {
    readonly entries: number;
    readonly agents: number;
    readonly seed: number;
    /** CPU capacity of each endpoint, in thousandths of a core. */
    readonly cpu: number;
    /** CPU that each task needs, in thousandths of a core. */
    readonly taskCpu: number;
    /** Run time of a task at an endpoint in milliseconds, and how it ends ("done" or "failed"). */
    readonly work: (task: string, endpoint: number) => { readonly ms: number; readonly how: string; };
    readonly deliveryOf?: (call: EndpointCallKind, task: string, endpoint: number) => CallDelivery;
    /** Time until a delayed call is executed, in milliseconds. */
    readonly deliveryDelayMs?: (call: EndpointCallKind, endpoint: number) => number;
    /** Whether a restarted endpoint executes delayed calls that were sent to its earlier incarnation. */
    readonly acceptsCallsToEarlierIncarnations?: boolean;
    /** Whether an endpoint that is down refuses connections; otherwise calls to it time out. */
    readonly refusesWhileDown?: boolean;
    /** Whether a crash of an endpoint resets the connections of waiting polls; otherwise they get a last list. */
    readonly resetsConnectionsAtCrash?: boolean;
    /** Number of failure domains over which entries and agents are spread; 1 by default. */
    readonly failureDomains?: number;
    /** Rate of the endpoints' clocks; 1 is exact. */
    readonly clockRate?: number;
    readonly log?: Log;
    /** Creates the policy for the number of entries that an agent connects to; agents have a default. */
    readonly linkTarget?: () => LinkCountTarget;
    /** Creates a process, by default one that handles everything at once. */
    readonly createProcess?: (time: Clock) => EmulatedProcess;
}
