import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SilentLog } from "../../common/log/SilentLog.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { EmulatedEndpoint } from "../../emulator/EmulatedEndpoint.js";
import type { EndpointControl } from "./EndpointControl.js";
import { EndpointSession } from "./EndpointSession.js";
import { PollOutcome } from "./PollOutcome.js";
import { StartOutcome } from "./StartOutcome.js";
import { StopOutcome } from "./StopOutcome.js";

/** Round trip to an endpoint that breaks each call off. */
const ROUND_TRIP_MS = 2;

/** Round trip of an answer that later ones overtake. */
const SLOW_ANSWER_MS = 20;

/** Each look that is broken off costs a connection; the platform's price allows some a second. */
const MAX_LOOKS_PER_S = 12;

const REPORT = {
    life: { id: "endpoint", bornMs: 1 },
    service: "s",
    capacity: { cpu: 1, memoryMb: 1, gpu: 0 },
    labels: [],
    draining: false,
    sequence: 1,
};

/** Endpoint that ends every look with `outcome` after one round trip. */
function brokenEndpoint(clock: VirtualClock, outcome: PollOutcome, looked: () => void): EndpointControl {
    return {
        start: () => Promise.resolve({ outcome: StartOutcome.Unanswered, clockMs: undefined }),
        stop: () => Promise.resolve({ outcome: StopOutcome.Unanswered, clockMs: undefined }),
        poll: () => {
            looked();
            return new Promise(resolve => {
                clock.schedule(ROUND_TRIP_MS, () => resolve({ outcome, clockMs: undefined, list: undefined }));
            });
        },
    };
}

/** Lets time pass so that promises settle between its steps. */
async function pass(clock: VirtualClock, ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 1) {
        clock.advance(1);
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** Endpoint in its life that began at `bornMs`. */
function soundEndpoint(clock: VirtualClock, bornMs: number): EmulatedEndpoint {
    return new EmulatedEndpoint(clock, {
        id: "endpoint",
        bornMs,
        capacity: REPORT.capacity,
        work: () => ({ ms: 1, how: "done" }),
        cpuOf: () => 1,
        deliveryOf: () => CallDelivery.Answered,
    });
}

/** Endpoint whose answer to the first look is overtaken by the answers to later ones; a run has ended in between. */
function endpointWithSlowFirstList(clock: VirtualClock): EndpointControl {
    let looks = 0;
    return {
        ...brokenEndpoint(clock, PollOutcome.Unanswered, () => undefined),
        poll: () => {
            looks += 1;
            const first = looks === 1;
            const list = { bornMs: 1, running: first ? [{ task: "t", run: 1 }] : [], finished: [] };
            const answer = { outcome: PollOutcome.Listed, clockMs: looks, list };
            return new Promise(resolve => {
                clock.schedule(first ? SLOW_ANSWER_MS : ROUND_TRIP_MS, () => resolve(answer));
            });
        },
    };
}

/** Result of a call that takes less than a slow answer. */
async function settled<T>(clock: VirtualClock, call: Promise<T>): Promise<T> {
    await pass(clock, SLOW_ANSWER_MS / 2);
    return call;
}

/** Session with an endpoint that answers, or refuses connections while told so. */
function refusedEndpoint(): {
    readonly clock: VirtualClock;
    readonly session: EndpointSession;
    readonly refuse: (refused: boolean) => void;
    readonly reasons: string[];
} {
    const clock = new VirtualClock();
    const endpoint = soundEndpoint(clock, 1);
    let refused = false;
    const control: EndpointControl = {
        start: call => endpoint.start(call),
        stop: call => endpoint.stop(call),
        poll: call =>
            refused
                ? Promise.resolve({ outcome: PollOutcome.Unreachable, clockMs: undefined, list: undefined })
                : endpoint.poll(call),
    };
    const session = new EndpointSession(control, clock, new SilentLog(), 1);
    session.announce(REPORT);
    const reasons: string[] = [];
    session.onGone(({ reason }) => reasons.push(reason));
    return { clock, session, refuse: value => refused = value, reasons };
}

describe("EndpointSession", () => {
    describe("an agent that starts again", () => {
        it("guards against an endpoint that is idle until its next heartbeat", async () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(soundEndpoint(clock, 1), clock, new SilentLog(), 1);
            session.recall({ ...REPORT, sequence: -1 });
            await pass(clock, 20);
            assert.equal(session.alive, true);
            assert.equal(session.report?.life.bornMs, 1);
            session.dispose();
        });

        it("guards against a life of unknown size that is used before it has announced itself", async () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(soundEndpoint(clock, 2), clock, new SilentLog(), 1);
            session.recall({ ...REPORT, sequence: -1 });
            await pass(clock, 20);
            assert.equal(session.report, undefined);
            session.announce({ ...REPORT, life: { id: "endpoint", bornMs: 2 } });
            await pass(clock, 20);
            assert.equal(session.alive, true);
            session.dispose();
        });

        it("guards against a stored report that replaces a heartbeat", async () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(soundEndpoint(clock, 2), clock, new SilentLog(), 1);
            session.announce({ ...REPORT, life: { id: "endpoint", bornMs: 2 } });
            session.recall({ ...REPORT, sequence: -1 });
            await pass(clock, 20);
            assert.equal(session.report?.life.bornMs, 2);
            session.dispose();
        });
    });

    describe("an endpoint that left and comes back", () => {
        // A start to the earlier life takes effect in the next one unless that has seen a higher fence.
        it("guards against a life that is called under the fence of an earlier one", () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(soundEndpoint(clock, 1), clock, new SilentLog(), 1);
            session.announce(REPORT);
            session.leave();
            session.announce({ ...REPORT, life: { id: "endpoint", bornMs: 2 } });
            assert.equal(session.fence, 2);
            session.dispose();
        });
    });

    describe("answers that overtake each other", () => {
        // A list that shows a run as running after a newer one has shown its end.
        it("guards against a list that replaces a newer one", async () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(endpointWithSlowFirstList(clock), clock, new SilentLog(), 1);
            const running: number[] = [];
            session.onList(({ list }) => {
                running.push(list.running.length);
            });
            session.announce(REPORT);
            const newer = await settled(clock, session.lookNow());
            await pass(clock, 2 * SLOW_ANSWER_MS);
            assert.equal(newer?.running.length, 0);
            assert.equal(running.includes(1), false);
            session.dispose();
        });

        // The clock of a life bounds its leases and starts.
        it("guards against the clock of an earlier life in the next one", async () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(soundEndpoint(clock, 2), clock, new SilentLog(), 1);
            session.announce(REPORT);
            session.announce({ ...REPORT, life: { id: "endpoint", bornMs: 2 } });
            await pass(clock, 20);
            session.observe(1_000_000, REPORT);
            assert.ok((session.clockMs ?? 0) < 1000, `${session.clockMs} ms`);
            session.dispose();
        });
    });

    describe("an endpoint that is flapping", () => {
        for (const outcome of [PollOutcome.Unanswered, PollOutcome.Unreachable, PollOutcome.OtherIncarnation]) {
            it(`guards against a loop of looks that each open a connection, answered as ${outcome}`, async () => {
                const clock = new VirtualClock();
                let looks = 0;
                const control = brokenEndpoint(clock, outcome, () => looks += 1);
                const session = new EndpointSession(control, clock, new SilentLog(), 1);
                session.announce(REPORT);
                await pass(clock, 2000);
                assert.ok(looks <= 2 * MAX_LOOKS_PER_S, `${looks} looks in 2 s`);
                session.dispose();
            });
        }
    });

    describe("an endpoint whose process goes on while its connections are reset", () => {
        for (const looks of [1, 2, 3]) {
            it(`guards against runs that count as ended after one moment of refusals, ${looks} looks at once`, async () => {
                const { clock, session, refuse, reasons } = refusedEndpoint();
                await pass(clock, 20);
                refuse(true);
                for (let look = 0; look < looks; look += 1) {
                    void session.lookNow();
                }
                // The waiting look of the session is answered after its wait; the next one is refused as well.
                await pass(clock, 5);
                refuse(false);
                await pass(clock, 500);
                assert.deepEqual(reasons, []);
                assert.equal(session.alive, true);
                session.dispose();
            });
        }

        it("guards against runs of an endpoint that has ended which count as running", async () => {
            const { clock, session, refuse, reasons } = refusedEndpoint();
            await pass(clock, 20);
            refuse(true);
            await pass(clock, 300);
            assert.equal(reasons[0], "connection refused");
            session.dispose();
        });
    });

    describe("an endpoint with many short runs", () => {
        it("guards against a look for each end", async () => {
            let looks = 0;
            const deployment = new EmulatedDeployment({
                entries: 1,
                agents: 1,
                seed: 1,
                cpu: 64_000,
                taskCpu: 1000,
                work: () => ({ ms: 100, how: "done" }),
                deliveryOf: call => {
                    looks += call === "look" ? 1 : 0;
                    return CallDelivery.Answered;
                },
            });
            await deployment.advance(500);
            const before = looks;
            for (let job = 0; job < 250; job += 1) {
                void deployment.submit(0, job.toString(16).padStart(16, "0"), 1, 100);
                await deployment.advance(4);
            }
            await deployment.advance(300);
            assert.equal(deployment.records.filter(record => record.how === "done").length, 250);
            assert.ok(looks - before <= 125, `${looks - before} looks for 250 runs`);
        });
    });
});
