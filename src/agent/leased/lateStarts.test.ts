import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import type { EndpointCallKind } from "../../emulator/EndpointCallKind.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";

const ID = "00000000000000aa";

/** Time until endpoints, agents and entries know each other; then the job is submitted. */
const LEAD_MS = 500;

/** Longer than any of these plays, so that a second run cannot come after the first. */
const RUN_MS = 3000;

/** From this time after the job on, tasks are placed at endpoint 1. */
const SWITCH_MS = 5;

/** After the endpoint has taken the first stop, before the look that the answer leads to. */
const REBIRTH_MS = 79;

/** What happens to the endpoint of the first start, at times after the job. */
interface Play {
    readonly crashMs?: number;
    readonly rebirthMs: number;
    /** When the first start is carried out. */
    readonly lateMs: number;
    /** Fate of other calls to the endpoint of the first start. */
    readonly fate?: (call: EndpointCallKind, afterMs: number) => CallDelivery;
}

/** Plays one job whose first start, at endpoint 0, is carried out after the endpoint has begun a new life under its id. */
async function playLateStart({ crashMs, rebirthMs, lateMs, fate }: Play): Promise<EmulatedDeployment> {
    let starts = 0;
    let nowMs = -LEAD_MS;
    const deployment = new EmulatedDeployment({
        entries: 1,
        agents: 2,
        seed: 1,
        cpu: 64_000,
        taskCpu: 6000,
        work: () => ({ ms: RUN_MS, how: "done" }),
        acceptsCallsToEarlierIncarnations: true,
        refusesWhileDown: true,
        deliveryDelayMs: () => lateMs,
        deliveryOf: (call, _task, endpoint) => {
            starts += call === "start" ? 1 : 0;
            if (call === "start" && starts === 1) {
                return CallDelivery.Delayed;
            }
            return endpoint === 0 ? fate?.(call, nowMs) ?? CallDelivery.Answered : CallDelivery.Answered;
        },
    });
    deployment.announce(1, 1, 2, true);
    await deployment.advance(LEAD_MS);
    void deployment.submit(0, ID, 1, RUN_MS, undefined, 2 * RUN_MS);
    for (nowMs = 0; nowMs < RUN_MS; nowMs += 1) {
        if (nowMs === crashMs) {
            deployment.endpoints[0]?.crash();
        }
        if (nowMs === rebirthMs) {
            deployment.endpoints[0]?.restart(2);
        }
        if (nowMs === SWITCH_MS) {
            deployment.announce(0, 1, 2, true);
            deployment.announce(1, 1, 3);
        }
        await deployment.advance(1);
    }
    return deployment;
}

describe("a start that is carried out in the next life of its endpoint", () => {
    // The stop was taken by the earlier life; the list that follows it is of the next one, which rules nothing out.
    it("guards against a list of another life than the one that took the stop", async () => {
        const deployment = await playLateStart({
            rebirthMs: REBIRTH_MS,
            lateMs: 300,
            fate: (call, afterMs) =>
                call === "stop" && afterMs > REBIRTH_MS ? CallDelivery.Lost : CallDelivery.Answered,
        });
        assert.equal(findOverlappingRuns(deployment.records), undefined);
    });

    // Refused connections end the earlier life, but not the start that is under way to the endpoint's id.
    it("guards against a run beside that of a task given back when connections were refused", async () => {
        const deployment = await playLateStart({ crashMs: 10, rebirthMs: 200, lateMs: 700 });
        assert.equal(findOverlappingRuns(deployment.records), undefined);
    });

    // A stop rules a later start out only in the life that has taken it.
    it("guards against a run beside that of a task that an earlier life has ruled out", async () => {
        const deployment = await playLateStart({
            rebirthMs: 500,
            lateMs: 1000,
            fate: (call, afterMs) => call === "stop" && afterMs < 420 ? CallDelivery.Lost : CallDelivery.Answered,
        });
        assert.equal(findOverlappingRuns(deployment.records), undefined);
    });
});
