import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "./CallDelivery.js";
import { EmulatedDeployment } from "./EmulatedDeployment.js";
import { findOverlappingRuns } from "./findOverlappingRuns.js";

const ID = "00000000000000aa";

/** Longer than the time after which an entry considers the runs of a lost agent ended. */
const RUN_MS = 1500;

/** Time until endpoints, agents and entries know each other; then the job is submitted to the first entry. */
const WARMUP_MS = 500;

/** Times from the first submission to the second, in milliseconds: before, during and after the start of the first run. */
const RESUBMISSION_DELAYS_MS = [0, 2, 8, 100];

/** Time from the first submission to the end of the faulty deliveries. */
const FAULTS_END_MS = 420;

const STOP_DELIVERIES = Object.values(CallDelivery);

interface Resubmission {
    readonly delayMs: number;
    /** Delivery of stops at the endpoint of the first run. */
    readonly stops: CallDelivery;
    /** Delivery of starts at the endpoint of the first run. */
    readonly starts?: CallDelivery;
    /** Delivery of polls at the endpoint of the first run. */
    readonly polls?: CallDelivery;
    /** Whether endpoint 1 accepts orders after the second submission. */
    readonly hasOtherEndpoint?: boolean;
}

/**
 * Simulates a job whose caller submits it to both of two entries. The first entry orders its task at endpoint 0, whose
 * agent gets the order of the second entry as well; then endpoint 1 accepts orders too.
 */
async function simulateResubmission(resubmission: Resubmission): Promise<EmulatedDeployment> {
    const { delayMs, stops, starts, polls, hasOtherEndpoint = true } = resubmission;
    const deliveries = { start: starts, stop: stops, look: polls };
    let elapsedMs = -WARMUP_MS;
    const deployment = new EmulatedDeployment({
        entries: 2,
        agents: 2,
        seed: 1,
        cpu: 64_000,
        taskCpu: 6000,
        work: () => ({ ms: RUN_MS, how: "done" }),
        deliveryOf: (call, _task, endpoint) => {
            const faulty = endpoint === 0 && elapsedMs >= 0 && elapsedMs < FAULTS_END_MS;
            return faulty ? deliveries[call] ?? CallDelivery.Answered : CallDelivery.Answered;
        },
    });
    deployment.deliverHeartbeat(1, 1, 2, true);
    for (; elapsedMs < 2 * RUN_MS; elapsedMs += 1) {
        if (elapsedMs === 0) {
            void deployment.submit(0, ID, 1, RUN_MS, undefined, 2 * RUN_MS);
        }
        if (elapsedMs === delayMs) {
            void deployment.submit(1, ID, 1, RUN_MS, undefined, 2 * RUN_MS);
        }
        if (elapsedMs === delayMs + 1 && hasOtherEndpoint) {
            deployment.deliverHeartbeat(1, 1, 3);
        }
        await deployment.advance(1);
    }
    return deployment;
}

function assertNoOverlap({ records }: EmulatedDeployment): void {
    assert.equal(findOverlappingRuns(records), undefined);
    assert.ok(records.some(({ how }) => how === "done"));
}

describe("a job submitted to two entries", () => {
    for (const delayMs of RESUBMISSION_DELAYS_MS) {
        for (const stops of STOP_DELIVERIES) {
            // The second entry places its task at endpoint 1 once endpoint 0 has returned it.
            it(`guards against a run at each of two endpoints, ${delayMs} ms apart, stops ${stops}`, async () => {
                assertNoOverlap(await simulateResubmission({ delayMs, stops }));
            });
        }

        // The agent cannot tell whether the run of the first entry has begun when the second order arrives.
        it(`guards against a run beside one whose start is unanswered, ${delayMs} ms apart`, async () => {
            const starts = CallDelivery.AnswerReset;
            assertNoOverlap(await simulateResubmission({ delayMs, stops: CallDelivery.Answered, starts }));
        });

        // The agent returns the task of the first entry and starts that of the second.
        it(`guards against a run of each entry at one endpoint whose polls are not answered, ${delayMs} ms apart`, async () => {
            assertNoOverlap(
                await simulateResubmission({
                    delayMs,
                    stops: CallDelivery.Answered,
                    starts: CallDelivery.AnswerReset,
                    polls: CallDelivery.ConnectionReset,
                    hasOtherEndpoint: false,
                }),
            );
        });
    }
});
