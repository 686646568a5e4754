import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { NO_RESOURCES } from "../../common/leased/NO_RESOURCES.js";
import type { Route } from "../../common/leased/Route.js";
import { RoutingTable } from "../../common/leased/RoutingTable.js";
import type { RunCompletion } from "../../common/leased/RunCompletion.js";
import { RunResult } from "../../common/leased/RunResult.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import { NoMetrics } from "../../common/NoMetrics.js";
import { SeededRandom } from "../../common/SeededRandom.js";
import { FakeChannel } from "../../test/FakeChannel.js";
import { StallingClock } from "../../test/StallingClock.js";
import { LeasedEntry } from "./LeasedEntry.js";

const ROUTE: Route = {
    name: "r",
    host: "h",
    prefix: "/",
    service: "s",
    priority: 0,
    maxAttempts: 4,
    timeoutMs: 10_000,
    targetMs: 60,
    stretch: 1.6,
    advised: false,
};
const ID = "5c0e7a21d94b36f8";
const TASK = `${ID}.0.0.0`;

/** Longer than the 1300 ms after which a caller that has disconnected submits its job again at another entry. */
const STALL_MS = 2000;

const CAPACITY = { cpu: 1000, memoryMb: 1000, gpu: 0 };

/** An endpoint has capacity for one task at a time. */
const NEED = { cpu: 600, memoryMb: 1, gpu: 0 };

/** Simulated agent that is attached to an entry. */
class AttachedAgent {
    public readonly channel: FakeChannel;
    private ends = 0;

    constructor(entry: LeasedEntry, id: string) {
        this.channel = new FakeChannel(id);
        entry.attach(this.channel);
        this.report();
    }

    /** Tasks that the entry has sent to this agent, each with its run number. */
    public get ordered(): readonly string[] {
        const orders = this.channel.sent.filter(message => message.kind === "run");
        return orders.flatMap(({ tasks }) => tasks.map(({ name, run }) => `${name}/${run}`));
    }

    public report(): void {
        const condition = {
            service: ROUTE.service,
            endpoint: `endpoint of ${this.channel.peer.id}`,
            labels: [],
            capacity: CAPACITY,
            used: this.ordered.length > this.ends ? NEED : NO_RESOURCES,
            accepting: true,
            slowness: 1,
            clockMs: 1,
        };
        this.channel.messages.fire({ kind: "load", condition, orders: this.ordered.length, tenured: true });
    }

    public end(run: Pick<RunCompletion, "run" | "result">): void {
        this.ends += 1;
        this.channel.messages.fire({ kind: "ended", runs: [{ task: TASK, ranMs: 1, reason: "", ...run }] });
    }
}

interface Fixture {
    readonly clock: StallingClock;
    readonly entry: LeasedEntry;
    /** Submits the test's only job; returns a function that disconnects its caller. */
    readonly submit: (caller?: AbortController) => () => void;
}

function createEntry(): Fixture {
    const clock = new StallingClock();
    const runtime = { clock, log: new SilentLog(), metrics: new NoMetrics(), random: new SeededRandom(1) };
    const entry = new LeasedEntry(new RoutingTable(), "e", "d", runtime);
    const submit = (caller = new AbortController()) => {
        const step = {
            count: 1,
            need: NEED,
            estimateMs: 10,
            after: [],
            requiredLabel: undefined,
            preferredRack: undefined,
            maxPerEndpoint: 0,
        };
        void entry.dispatcher.submit({ id: ID, spec: "", steps: [step] }, ROUTE, ROUTE.timeoutMs, caller.signal);
        return () => caller.abort();
    };
    return { clock, entry, submit };
}

describe("LeasedEntry", () => {
    describe("an entry that was stalled", () => {
        const ways: Readonly<Record<string, (clock: StallingClock) => void>> = {
            "timers run first": clock => clock.advance(STALL_MS),
            "sockets are read first": clock => clock.stall(STALL_MS),
            "its machine was suspended": clock => clock.suspend(STALL_MS),
        };

        for (const [name, stall] of Object.entries(ways)) {
            it(`guards against starting a task again before its caller's disconnect is read: ${name}`, () => {
                const { clock, entry, submit } = createEntry();
                const agent = new AttachedAgent(entry, "a");
                const disconnect = submit();
                clock.advance(1);
                assert.deepEqual(agent.ordered, [`${TASK}/1`]);
                stall(clock);
                agent.end({ run: 1, result: RunResult.Stopped });
                agent.report();
                // The end of the caller's connection is read in the first turn of the event loop and reported in the
                // next.
                clock.advance(1);
                clock.advance(1);
                disconnect();
                clock.advance(100);
                assert.deepEqual(agent.ordered, [`${TASK}/1`]);
            });
        }

        it("guards against never starting a job again whose caller is still connected", () => {
            const { clock, entry, submit } = createEntry();
            const agent = new AttachedAgent(entry, "a");
            submit();
            clock.advance(1);
            clock.advance(STALL_MS);
            agent.end({ run: 1, result: RunResult.Stopped });
            agent.report();
            for (let passed = 0; passed < 50; passed += 5) {
                clock.advance(5);
            }
            assert.deepEqual(agent.ordered, [`${TASK}/1`, `${TASK}/2`]);
        });
    });

    describe("a caller that has already disconnected when its job is submitted", () => {
        function disconnectedCaller(): AbortController {
            const caller = new AbortController();
            caller.abort();
            return caller;
        }

        it("guards against running a job that its caller submits again elsewhere", () => {
            const { clock, entry, submit } = createEntry();
            const agent = new AttachedAgent(entry, "a");
            submit(disconnectedCaller());
            clock.advance(100);
            assert.deepEqual(agent.ordered, []);
            assert.equal(entry.dispatcher.stateOf(ID), undefined);
        });

        it("guards against ending the job of another caller that still waits", () => {
            const { clock, entry, submit } = createEntry();
            const agent = new AttachedAgent(entry, "a");
            const disconnect = submit();
            clock.advance(1);
            submit(disconnectedCaller());
            assert.equal(entry.dispatcher.stateOf(ID), "active");
            disconnect();
            assert.equal(entry.dispatcher.stateOf(ID), undefined);
            assert.deepEqual(agent.ordered, [`${TASK}/1`]);
        });
    });

    describe("a job that is submitted again at the same entry", () => {
        /** Disconnects the caller and submits its job again while agent `a` has not reported the end of its run. */
        function submitAgain(): Fixture & Readonly<Record<"a" | "b", AttachedAgent>> {
            const scene = createEntry();
            const a = new AttachedAgent(scene.entry, "a");
            const disconnect = scene.submit();
            scene.clock.advance(1);
            assert.deepEqual(a.ordered, [`${TASK}/1`]);
            const b = new AttachedAgent(scene.entry, "b");
            disconnect();
            advance(scene.clock, 1300, [a, b]);
            scene.submit();
            advance(scene.clock, 100, [a, b]);
            return { ...scene, a, b };
        }

        it("guards against a second run while the first is still being stopped at its agent", () => {
            const { clock, a, b } = submitAgain();
            assert.deepEqual([...a.ordered, ...b.ordered], [`${TASK}/1`]);
            a.end({ run: 1, result: RunResult.Stopped });
            advance(clock, 100, [b]);
            assert.equal(a.ordered.length + b.ordered.length, 2);
        });

        it("guards against a second run after the agent was lost, before its run has certainly ended", () => {
            const { clock, a, b } = submitAgain();
            a.channel.close("reset");
            advance(clock, LEASE_TIMES.LOST_RUN_EXPIRY_MS - 100, [b]);
            assert.deepEqual(b.ordered, []);
            advance(clock, 200, [b]);
            assert.equal(b.ordered.length, 1);
        });

        it("guards against a second run while a run at an agent lost between the submissions may live", () => {
            const { clock, entry, submit } = createEntry();
            const a = new AttachedAgent(entry, "a");
            const disconnect = submit();
            clock.advance(1);
            const b = new AttachedAgent(entry, "b");
            disconnect();
            advance(clock, 1200, [a, b]);
            a.channel.close("reset");
            submit();
            advance(clock, LEASE_TIMES.LOST_RUN_EXPIRY_MS - 100, [b]);
            assert.deepEqual(b.ordered, []);
            advance(clock, 200, [b]);
            assert.equal(b.ordered.length, 1);
        });
    });

    describe("an agent that attaches again", () => {
        it("guards against a second run because of an end that is reported on its earlier connection", () => {
            const { clock, entry, submit } = createEntry();
            const earlier = new AttachedAgent(entry, "a");
            submit();
            clock.advance(1);
            const later = new AttachedAgent(entry, "a");
            earlier.end({ run: 1, result: RunResult.Stopped });
            advance(clock, LEASE_TIMES.LOST_RUN_EXPIRY_MS - 100, [later]);
            assert.deepEqual(later.ordered, []);
            advance(clock, 200, [later]);
            assert.equal(later.ordered.length, 1);
        });
    });
});

/** Advances the clock while the agents keep reporting. */
function advance(clock: StallingClock, ms: number, agents: readonly AttachedAgent[]): void {
    for (let passed = 0; passed < ms; passed += 10) {
        agents.forEach(agent => agent.report());
        clock.advance(10);
    }
}
