import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SilentLog } from "../../common/log/SilentLog.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import type { EndpointControl } from "./EndpointControl.js";
import { EndpointSession } from "./EndpointSession.js";
import { PollOutcome } from "./PollOutcome.js";
import { StartOutcome } from "./StartOutcome.js";
import { StopOutcome } from "./StopOutcome.js";

const ROUND_TRIP_MS = 2;

/** Time after which each poll of the session has been answered. */
const SETTLED_MS = 50;

/** Age of the last answer from which on an endpoint gets no new runs: two polls without a response. */
const MAX_ANSWER_AGE_MS = 440;

/** Number of the finished run that the endpoint lists. */
const FINISHED_NUMBER = 7;

const REPORT = {
    life: { id: "endpoint", bornMs: 1 },
    service: "s",
    capacity: { cpu: 1, memoryMb: 1, gpu: 0 },
    labels: [],
    draining: false,
    sequence: 1,
};

type PollCall = Parameters<EndpointControl["poll"]>[0];

interface Recorded {
    readonly clock: VirtualClock;
    readonly session: EndpointSession;
    readonly polls: PollCall[];
    readonly silence: () => void;
}

/** Session with an endpoint that lists one finished run until it is silenced; records its polls. */
function recordPolls(): Recorded {
    const clock = new VirtualClock();
    const polls: PollCall[] = [];
    let silent = false;
    const finished = [{ number: FINISHED_NUMBER, task: "t", run: 1, result: "done", reason: "done" }] as const;
    const control: EndpointControl = {
        start: () => Promise.resolve({ outcome: StartOutcome.Unanswered, clockMs: undefined }),
        stop: () => Promise.resolve({ outcome: StopOutcome.Unanswered, clockMs: undefined }),
        poll: call => {
            polls.push(call);
            const clockMs = clock.now() + 1;
            const listed = { outcome: PollOutcome.Listed, clockMs, list: { bornMs: 1, running: [], finished } };
            const unanswered = { outcome: PollOutcome.Unanswered, clockMs: undefined, list: undefined };
            return new Promise(resolve => {
                clock.schedule(ROUND_TRIP_MS, () => resolve(silent ? unanswered : listed));
            });
        },
    };
    const session = new EndpointSession(control, clock, new SilentLog(), 1);
    session.handleHeartbeat(REPORT);
    return { clock, session, polls, silence: () => silent = true };
}

async function pass(clock: VirtualClock, ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 1) {
        clock.advance(1);
        await new Promise(resolve => setImmediate(resolve));
    }
}

describe("a poll of the endpoint", () => {
    // The finished runs and the clock of the known incarnation say nothing about the announced one.
    it("guards against an announced incarnation that forgets its finished runs or gets a lease on another clock", async () => {
        const { clock, session, polls } = recordPolls();
        await pass(clock, SETTLED_MS);
        assert.equal(polls.at(-1)?.acknowledged, FINISHED_NUMBER);
        session.handleHeartbeat({ ...REPORT, life: { id: "other", bornMs: 2 } });
        const { endpoint, acknowledged, untilMs } = polls.at(-1) ?? {};
        assert.deepEqual({ endpoint, acknowledged, untilMs }, {
            endpoint: "other",
            acknowledged: 0,
            untilMs: undefined,
        });
        assert.equal(session.isAvailable, false);
        session.dispose();
    });

    it("guards against a lease that is renewed for ever at a deregistered endpoint that is silent", async () => {
        const { clock, session, polls, silence } = recordPolls();
        session.setHasRuns(() => true);
        await pass(clock, SETTLED_MS);
        assert.notEqual(polls.at(-1)?.untilMs, undefined);
        session.handleDeregistration();
        silence();
        await pass(clock, SETTLED_MS);
        assert.equal(polls.at(-1)?.untilMs, undefined);
        session.dispose();
    });

    it("guards against polls of an earlier incarnation whose delayed heartbeat arrives while the current one answers", async () => {
        const { clock, session, polls } = recordPolls();
        await pass(clock, SETTLED_MS);
        session.handleHeartbeat({ ...REPORT, life: { id: "earlier", bornMs: 0 } });
        await pass(clock, SETTLED_MS);
        assert.deepEqual([...new Set(polls.map(({ endpoint }) => endpoint))], ["endpoint"]);
        session.dispose();
    });

    it("guards against new runs at an endpoint that has not answered for two polls", async () => {
        const { clock, session, silence } = recordPolls();
        await pass(clock, SETTLED_MS);
        assert.equal(session.isAvailable, true);
        silence();
        await pass(clock, MAX_ANSWER_AGE_MS + SETTLED_MS);
        assert.equal(session.isAvailable, false);
        session.dispose();
    });

    it("guards against a fence that two rejections of the same fence raise twice", () => {
        const { session } = recordPolls();
        const first = session.fence;
        session.raiseFence(first);
        const raised = session.fence;
        session.raiseFence(first);
        assert.equal(first, 1);
        assert.ok(raised > first);
        assert.equal(session.fence, raised);
        session.dispose();
    });
});
