import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
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

/** Round trip to an endpoint that resets the connection of each call. */
const ROUND_TRIP_MS = 2;

/** Time that a poll waits at an endpoint for a run to end. */
const POLL_WAIT_MS = 200;

/** Time until the endpoint lease has certainly expired, after its last renewal. */
const LEASE_EXPIRY_MS = 683;

/** Longest interval between polls of an endpoint that does not answer. */
const MAX_POLL_INTERVAL_MS = 160;

/** Round trip of a response that later ones overtake. */
const SLOW_RESPONSE_MS = 20;

/**
 * Maximum rate of polls: each one whose connection is reset costs a new connection, of which the platform's pricing
 * allows some a second.
 */
const MAX_POLLS_PER_S = 12;

const REPORT = {
    life: { id: "endpoint", bornMs: 1 },
    service: "s",
    capacity: { cpu: 1, memoryMb: 1, gpu: 0 },
    labels: [],
    draining: false,
    sequence: 1,
};

/** Endpoint that ends every poll with `outcome` after one round trip. */
function failingEndpoint(clock: VirtualClock, outcome: PollOutcome, polled: () => void): EndpointControl {
    return {
        start: () => Promise.resolve({ outcome: StartOutcome.Unanswered, clockMs: undefined }),
        stop: () => Promise.resolve({ outcome: StopOutcome.Unanswered, clockMs: undefined }),
        poll: () => {
            polled();
            return new Promise(resolve => {
                clock.schedule(ROUND_TRIP_MS, () => resolve({ outcome, clockMs: undefined, list: undefined }));
            });
        },
    };
}

/** Advances the clock in steps, between which promises settle. */
async function pass(clock: VirtualClock, ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 1) {
        clock.advance(1);
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** Healthy endpoint in the incarnation that began at `bornMs`. */
function healthyEndpoint(clock: VirtualClock, bornMs: number): EmulatedEndpoint {
    return new EmulatedEndpoint(clock, {
        id: "endpoint",
        bornMs,
        capacity: REPORT.capacity,
        work: () => ({ ms: 1, how: "done" }),
        cpuOf: () => 1,
        deliveryOf: () => CallDelivery.Answered,
    });
}

/** Endpoint whose response to the first poll is overtaken by those to later ones; a run has ended in between. */
function endpointWithSlowFirstList(clock: VirtualClock): EndpointControl {
    let polls = 0;
    return {
        ...failingEndpoint(clock, PollOutcome.Unanswered, () => undefined),
        poll: () => {
            polls += 1;
            const first = polls === 1;
            const list = { bornMs: 1, running: first ? [{ task: "t", run: 1 }] : [], finished: [] };
            const response = { outcome: PollOutcome.Listed, clockMs: polls, list };
            return new Promise(resolve => {
                clock.schedule(first ? SLOW_RESPONSE_MS : ROUND_TRIP_MS, () => resolve(response));
            });
        },
    };
}

/** Result of a call that takes less time than a slow response. */
async function settled<T>(clock: VirtualClock, call: Promise<T>): Promise<T> {
    await pass(clock, SLOW_RESPONSE_MS / 2);
    return call;
}

/** Session with an endpoint that answers, or refuses connections while `refuse` is on. */
function refusedEndpoint(): {
    readonly clock: VirtualClock;
    readonly session: EndpointSession;
    readonly refuse: (refused: boolean) => void;
    readonly reasons: string[];
} {
    const clock = new VirtualClock();
    const endpoint = healthyEndpoint(clock, 1);
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
    session.handleHeartbeat(REPORT);
    const reasons: string[] = [];
    session.onLost(({ reason }) => reasons.push(reason));
    return { clock, session, refuse: value => refused = value, reasons };
}

describe("EndpointSession", () => {
    describe("an agent that restarts", () => {
        it("guards against an endpoint that is idle until its next heartbeat", async () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(healthyEndpoint(clock, 1), clock, new SilentLog(), 1);
            session.restore({ ...REPORT, sequence: -1 });
            await pass(clock, 20);
            assert.equal(session.isAvailable, true);
            assert.equal(session.report?.life.bornMs, 1);
            session.dispose();
        });

        it("guards against an incarnation of unknown capacity that is used before its first heartbeat", async () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(healthyEndpoint(clock, 2), clock, new SilentLog(), 1);
            session.restore({ ...REPORT, sequence: -1 });
            await pass(clock, 20);
            assert.equal(session.report, undefined);
            session.handleHeartbeat({ ...REPORT, life: { id: "endpoint", bornMs: 2 } });
            await pass(clock, 20);
            assert.equal(session.isAvailable, true);
            session.dispose();
        });

        it("guards against a stored report that replaces a heartbeat", async () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(healthyEndpoint(clock, 2), clock, new SilentLog(), 1);
            session.handleHeartbeat({ ...REPORT, life: { id: "endpoint", bornMs: 2 } });
            session.restore({ ...REPORT, sequence: -1 });
            await pass(clock, 20);
            assert.equal(session.report?.life.bornMs, 2);
            session.dispose();
        });
    });

    describe("an endpoint whose clock is known before its run list", () => {
        // Responses other than lists have the clock too, such as those of an unhealthy endpoint or about the fence.
        for (const outcome of [PollOutcome.Unanswered, PollOutcome.Fenced]) {
            it(`guards against a lease that is renewed for unknown runs of an earlier process, outcome ${outcome}`, async () => {
                const clock = new VirtualClock();
                const renewals: (number | undefined)[] = [];
                const control: EndpointControl = {
                    ...failingEndpoint(clock, outcome, () => undefined),
                    poll: ({ untilMs }) => {
                        renewals.push(untilMs);
                        return Promise.resolve({ outcome, clockMs: 1000 + clock.now(), list: undefined });
                    },
                };
                const session = new EndpointSession(control, clock, new SilentLog(), 1);
                session.handleHeartbeat(REPORT);
                await pass(clock, 500);
                assert.ok(renewals.length > 1);
                assert.deepEqual([...new Set(renewals)], [undefined]);
                session.dispose();
            });
        }
    });

    describe("an agent that has stopped", () => {
        // A start whose response is missing is resolved by a poll, also while the process ends.
        it("guards against a lease that is renewed after the agent has closed its connections", async () => {
            const clock = new VirtualClock();
            const endpoint = healthyEndpoint(clock, 1);
            let polls = 0;
            const control: EndpointControl = {
                ...failingEndpoint(clock, PollOutcome.Unanswered, () => undefined),
                poll: call => {
                    polls += 1;
                    return endpoint.poll(call);
                },
            };
            const session = new EndpointSession(control, clock, new SilentLog(), 1);
            session.handleHeartbeat(REPORT);
            await pass(clock, 20);
            session.dispose();
            const before = polls;
            void session.pollNow();
            await pass(clock, 500);
            assert.equal(polls, before);
        });
    });

    describe("an endpoint that deregisters and comes back", () => {
        // A start to the earlier incarnation takes effect in the next one unless that has seen a higher fence.
        it("guards against an incarnation that is called under the fence of an earlier one", () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(healthyEndpoint(clock, 1), clock, new SilentLog(), 1);
            session.handleHeartbeat(REPORT);
            session.handleDeregistration();
            session.handleHeartbeat({ ...REPORT, life: { id: "endpoint", bornMs: 2 } });
            assert.equal(session.fence, 2);
            session.dispose();
        });

        // Heartbeats and the deregistration travel on different connections.
        for (const waitMs of [0, 500]) {
            it(`guards against new runs after a delayed heartbeat of the endpoint that has left, after ${waitMs} ms`, async () => {
                const clock = new VirtualClock();
                const session = new EndpointSession(healthyEndpoint(clock, 1), clock, new SilentLog(), 1);
                session.handleHeartbeat({ ...REPORT, sequence: 5 });
                await pass(clock, 20);
                session.handleDeregistration();
                await pass(clock, waitMs);
                session.handleHeartbeat({ ...REPORT, sequence: 4 });
                session.handleHeartbeat({ ...REPORT, sequence: 6, draining: true });
                await pass(clock, 20);
                assert.equal(session.isAvailable, false);
                session.dispose();
            });

            it(`guards against an endpoint that is idle after the deregistration of another incarnation, ${waitMs} ms later`, async () => {
                const clock = new VirtualClock();
                const session = new EndpointSession(healthyEndpoint(clock, 1), clock, new SilentLog(), 1);
                session.handleHeartbeat(REPORT);
                await pass(clock, 20);
                session.handleDeregistration();
                await pass(clock, waitMs);
                session.handleHeartbeat({ ...REPORT, sequence: 2 });
                await pass(clock, 20);
                assert.equal(session.isAvailable, true);
                session.dispose();
            });
        }

        it("guards against polls of an endpoint that has left", async () => {
            const clock = new VirtualClock();
            let polls = 0;
            const endpoint = healthyEndpoint(clock, 1);
            const poll: EndpointControl["poll"] = call => {
                polls += 1;
                return endpoint.poll(call);
            };
            const control = {
                start: endpoint.start.bind(endpoint),
                stop: endpoint.stop.bind(endpoint),
                poll,
            };
            const session = new EndpointSession(control, clock, new SilentLog(), 1);
            session.handleHeartbeat(REPORT);
            await pass(clock, 20);
            session.handleDeregistration();
            await pass(clock, 500);
            assert.equal(session.report, undefined);
            const before = polls;
            await pass(clock, 1000);
            assert.equal(polls, before);
            session.dispose();
        });
    });

    describe("responses that overtake each other", () => {
        // The older list shows a run as running after the newer one has shown its end.
        it("guards against a list that replaces a newer one", async () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(endpointWithSlowFirstList(clock), clock, new SilentLog(), 1);
            const running: number[] = [];
            session.onList(({ list }) => {
                running.push(list.running.length);
            });
            session.handleHeartbeat(REPORT);
            const newer = await settled(clock, session.pollNow());
            await pass(clock, 2 * SLOW_RESPONSE_MS);
            assert.equal(newer?.running.length, 0);
            assert.equal(running.includes(1), false);
            session.dispose();
        });

        // Leases and starts are limited on the clock of an incarnation.
        it("guards against the clock of an earlier incarnation in the next one", async () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(healthyEndpoint(clock, 2), clock, new SilentLog(), 1);
            session.handleHeartbeat(REPORT);
            session.handleHeartbeat({ ...REPORT, life: { id: "endpoint", bornMs: 2 } });
            await pass(clock, 20);
            session.observeClock(1_000_000, 0, REPORT);
            assert.ok((session.clockMs ?? 0) < 1000, `${session.clockMs} ms`);
            session.dispose();
        });
    });

    describe("an endpoint that another one has replaced", () => {
        it("guards against the clock of the endpoint that answers with another id", async () => {
            const clock = new VirtualClock();
            const outcome = PollOutcome.OtherIncarnation;
            const control: EndpointControl = {
                ...failingEndpoint(clock, outcome, () => undefined),
                poll: () =>
                    new Promise(resolve => {
                        const response = { outcome, clockMs: 1_000_000, list: undefined };
                        clock.schedule(ROUND_TRIP_MS, () => resolve(response));
                    }),
            };
            const session = new EndpointSession(control, clock, new SilentLog(), 1);
            session.handleHeartbeat(REPORT);
            await pass(clock, 20);
            assert.equal(session.clockMs, undefined);
            session.dispose();
        });

        // The wall clock has jumped, so the delayed heartbeat states the later start time.
        it("guards against an endpoint that stays unused after a delayed heartbeat came first", async () => {
            const clock = new VirtualClock();
            const session = new EndpointSession(healthyEndpoint(clock, 1), clock, new SilentLog(), 1);
            session.handleHeartbeat({ ...REPORT, life: { id: "earlier", bornMs: 50 } });
            await pass(clock, 20);
            session.handleHeartbeat(REPORT);
            await pass(clock, 20);
            assert.equal(session.isAvailable, true);
            session.dispose();
        });
    });

    describe("an endpoint that is flapping", () => {
        for (const outcome of [PollOutcome.Unanswered, PollOutcome.Unreachable, PollOutcome.OtherIncarnation]) {
            it(`guards against a loop of polls that each open a connection, with the outcome ${outcome}`, async () => {
                const clock = new VirtualClock();
                let polls = 0;
                const control = failingEndpoint(clock, outcome, () => polls += 1);
                const session = new EndpointSession(control, clock, new SilentLog(), 1);
                session.handleHeartbeat(REPORT);
                await pass(clock, 2000);
                assert.ok(polls <= 2 * MAX_POLLS_PER_S, `${polls} polls in 2 s`);
                session.dispose();
            });
        }
    });

    describe("an endpoint whose process goes on while its connections are reset", () => {
        for (const polls of [1, 2, 3]) {
            it(`guards against runs that count as ended after a moment of refusals, ${polls} polls at once`, async () => {
                const { clock, session, refuse, reasons } = refusedEndpoint();
                await pass(clock, 20);
                refuse(true);
                for (let poll = 0; poll < polls; poll += 1) {
                    void session.pollNow();
                }
                // The session's waiting poll is answered after its wait; the next one is refused as well.
                await pass(clock, 5);
                refuse(false);
                await pass(clock, 500);
                assert.deepEqual(reasons, []);
                assert.equal(session.isAvailable, true);
                session.dispose();
            });
        }

        for (const leaves of ["drains", "deregisters"]) {
            // It may close its port and go on for seconds.
            it(`guards against runs that count as ended while their lease may last, at an endpoint that ${leaves}`, async () => {
                const { clock, session, refuse, reasons } = refusedEndpoint();
                await pass(clock, 20);
                session.setHasRuns(() => true);
                session.handleHeartbeat({ ...REPORT, draining: true, sequence: 2 });
                if (leaves === "deregisters") {
                    session.handleDeregistration();
                }
                refuse(true);
                const mayHaveRenewedAt = clock.now() + POLL_WAIT_MS;
                await pass(clock, LEASE_TIMES.ENDPOINT_LEASE_MS);
                assert.deepEqual(reasons, []);
                await pass(clock, mayHaveRenewedAt + LEASE_EXPIRY_MS + MAX_POLL_INTERVAL_MS - clock.now());
                assert.equal(reasons[0], "endpoint lease expired without a response");
                session.dispose();
            });
        }

        it("guards against polls without end of an endpoint without runs that deregisters and refuses connections", async () => {
            const { clock, session, refuse } = refusedEndpoint();
            await pass(clock, 20);
            refuse(true);
            session.handleDeregistration();
            await pass(clock, POLL_WAIT_MS + LEASE_EXPIRY_MS + MAX_POLL_INTERVAL_MS);
            assert.equal(session.report, undefined);
            session.dispose();
        });

        it("guards against runs that count as running at an endpoint that has ended", async () => {
            const { clock, session, refuse, reasons } = refusedEndpoint();
            await pass(clock, 20);
            refuse(true);
            await pass(clock, 300);
            assert.equal(reasons[0], "connection refused");
            session.dispose();
        });
    });

    describe("an endpoint with many short runs", () => {
        it("guards against a poll for each finished run", async () => {
            let polls = 0;
            const deployment = new EmulatedDeployment({
                entries: 1,
                agents: 1,
                seed: 1,
                cpu: 64_000,
                taskCpu: 1000,
                work: () => ({ ms: 100, how: "done" }),
                deliveryOf: call => {
                    polls += call === "look" ? 1 : 0;
                    return CallDelivery.Answered;
                },
            });
            await deployment.advance(500);
            const before = polls;
            for (let job = 0; job < 250; job += 1) {
                void deployment.submit(0, job.toString(16).padStart(16, "0"), 1, 100);
                await deployment.advance(4);
            }
            await deployment.advance(300);
            assert.equal(deployment.records.filter(record => record.how === "done").length, 250);
            assert.ok(polls - before <= 125, `${polls - before} polls for 250 runs`);
        });
    });
});
