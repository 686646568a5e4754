import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clock } from "../../common/Clock.js";
import type { LogEvent } from "../../common/log/LogEvent.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import { SeededRandom } from "../../common/SeededRandom.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import { StallingProcess } from "../../emulator/StallingProcess.js";
import { CallbackLog } from "../../test/CallbackLog.js";
import { StallingClock } from "../../test/StallingClock.js";
import { EntryLeaseEvent } from "./EntryLeaseEvent.js";
import { InputHorizon } from "./InputHorizon.js";

const INTERVAL_MS = 200;

/** Timers of an entry without jobs that fired in each interval when it checked for stalls and silent agents separately. */
const TIMERS_IN_INTERVAL = 3;

const SEEDS = 40;

/** Emulated process, with the virtual time that it runs in. */
class EmulatedTime {
    public readonly clock = new VirtualClock();
    public readonly process: StallingProcess;

    constructor(turnMs: () => number) {
        this.process = new StallingProcess(this.clock, turnMs);
    }

    public async advance(ms: number): Promise<void> {
        for (let passed = 0; passed < ms; passed += 1) {
            this.clock.advance(1);
            await this.process.run();
        }
    }
}

describe("InputHorizon", () => {
    describe("a process that is late", () => {
        it("guards against a horizon after the end of a connection that is not known yet", async () => {
            for (let seed = 1; seed <= SEEDS; seed += 1) {
                const random = new SeededRandom(seed);
                const time = new EmulatedTime(() => random.next() * 600);
                const horizon = new InputHorizon(time.process, new SilentLog());
                const caller = new AbortController();
                let isReported = false;
                const handle = (disconnected: AbortSignal): Promise<void> => {
                    disconnected.addEventListener("abort", () => {
                        isReported = true;
                    });
                    return new Promise(() => undefined);
                };
                void time.process.serve(handle, caller.signal, undefined);
                await time.advance(2000 + random.next() * 1000);
                const endedAt = time.clock.now();
                caller.abort();
                let latest = horizon.at;
                // Whatever the process does in its timers phase comes before what it reads in the same turn.
                const observe = (): void => {
                    latest = isReported ? latest : Math.max(latest, horizon.at);
                    time.process.schedule(1, observe);
                };
                observe();
                await time.advance(3000);
                assert.ok(isReported, `seed ${seed}`);
                assert.ok(latest <= endedAt, `seed ${seed}: horizon ${latest}, connection ended at ${endedAt}`);
            }
        });

        it("guards against more than one log line for each beginning and end of a late phase", async () => {
            let turnMs = 0;
            const time = new EmulatedTime(() => turnMs);
            const events: LogEvent[] = [];
            const horizon = new InputHorizon(time.process, new CallbackLog(event => events.push(event)));
            turnMs = 300;
            await time.advance(10_000);
            assert.equal(horizon.isTooOld, true);
            turnMs = 0;
            await time.advance(3000);
            assert.equal(horizon.isTooOld, false);
            assert.deepEqual(events, [EntryLeaseEvent.InputLate, EntryLeaseEvent.InputPrompt]);
        });
    });

    describe("a process that is not late", () => {
        it("guards against an old horizon, which would shorten the entry leases", async () => {
            const time = new EmulatedTime(() => 0);
            const horizon = new InputHorizon(time.process, new SilentLog());
            const ages: number[] = [];
            horizon.onAdvance(() => ages.push(time.clock.now() - horizon.at));
            for (let passed = 0; passed < 10 * INTERVAL_MS; passed += 1) {
                await time.advance(1);
                assert.ok(time.clock.now() - horizon.at <= INTERVAL_MS + 10);
            }
            assert.ok(ages.length >= 9 && ages.every(age => age <= 10), ages.join());
        });

        it("guards against more timers than an idle entry had before, which cost processor time", () => {
            const time = new VirtualClock();
            let fired = 0;
            const clock: Clock = {
                now: () => time.now(),
                schedule: (delayMs, callback) =>
                    time.schedule(Math.max(1, delayMs), () => {
                        fired += 1;
                        callback();
                    }),
            };
            new InputHorizon(clock, new SilentLog());
            time.advance(100 * INTERVAL_MS);
            assert.ok(fired <= 100 * TIMERS_IN_INTERVAL, `${fired}`);
        });
    });

    describe("a machine that was suspended", () => {
        it("guards against a horizon that does not count the time of the suspension", () => {
            const clock = new StallingClock();
            const horizon = new InputHorizon(clock, new SilentLog());
            clock.suspend(2000);
            assert.equal(horizon.at, -2000);
            assert.equal(horizon.isTooOld, true);
        });
    });
});
