import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { OrderedRun } from "./OrderedRun.js";
import { RunPhase } from "./RunPhase.js";

/** Creates the waiting run `run` of a task that an order of `owner` names, received at `orderedAt`. */
export function createOrderedRun(
    owner: string,
    order: MessageOf<"run">,
    task: string,
    run: number,
    orderedAt: number,
): OrderedRun {
    return {
        task,
        owner,
        order: order.order,
        spec: order.spec,
        need: order.need,
        estimateMs: order.estimateMs,
        startBeforeMs: order.startBeforeMs,
        orderedAt,
        run,
        phase: RunPhase.Waiting,
        starts: 0,
        startedAt: undefined,
        stopReason: undefined,
        leaseLimitMs: Number.POSITIVE_INFINITY,
        stopDueAt: 0,
        restartAfterStop: false,
        endpointLost: false,
        returnLostAt: Number.POSITIVE_INFINITY,
        refusedOwners: new Set(),
    };
}
