import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { LogEvent } from "../common/log/LogEvent.js";
import { NoMetrics } from "../common/NoMetrics.js";
import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { PlatformSettings } from "../common/settings/PlatformSettings.js";
import { VirtualClock } from "../common/VirtualClock.js";
import { CliEvent } from "./CliEvent.js";
import { ExitCode } from "./ExitCode.js";
import { RecordingTerminal } from "./RecordingTerminal.js";
import { RoleProcess } from "./RoleProcess.js";

const SETTINGS = JSON.stringify({ http: { host: "127.0.0.1", port: 0 } });

class FakeRole implements RunningRole {
    public readonly limits: number[] = [];
    public disposed = 0;

    constructor(private readonly drainResult: (limitMs: number) => Promise<readonly string[]>) {}

    public drain(limitMs: number): Promise<readonly string[]> {
        this.limits.push(limitMs);
        return this.drainResult(limitMs);
    }

    public dispose(): Promise<void> {
        this.disposed += 1;
        return Promise.resolve();
    }
}

function create(file: string | undefined, role: FakeRole | undefined) {
    const terminal = new RecordingTerminal(file);
    const events: LogEvent[] = [];
    const log = { write: (event: LogEvent) => events.push(event), child: () => log };
    const clock = new VirtualClock();
    const runtime: Runtime = { clock, log, metrics: new NoMetrics(), random: new SeededRandom(1) };
    let markStarted: () => void = () => undefined;
    const started = new Promise<void>(resolve => markStarted = resolve);
    const starter = {
        start: () => {
            setImmediate(markStarted);
            return role === undefined ? Promise.reject(new Error("port in use")) : Promise.resolve(role);
        },
    };
    const load = () => Promise.resolve(starter);
    const instance = new RoleProcess("platform", PlatformSettings, load, terminal, () => Promise.resolve(runtime));
    return { terminal, events, clock, started, instance };
}

async function settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}

describe("RoleProcess", () => {
    describe("settings", () => {
        it("guards against a validation error that is printed without its path or the expected value", async () => {
            const file = JSON.stringify({ http: { host: "", port: 70_000 }, writeDelayMs: -1 });
            const { terminal, instance } = create(file, undefined);
            assert.equal(await instance.run("x"), ExitCode.Usage);
            const text = terminal.errors.join("\n");
            assert.match(text, /http\.host: .*1/);
            assert.match(text, /http\.port: .*65535/);
            assert.match(text, /writeDelayMs: .*0/);
        });

        it("guards against another exit code than 2 for a missing settings file", async () => {
            const { instance } = create(undefined, undefined);
            assert.equal(await instance.run("x"), ExitCode.Usage);
        });
    });

    it("guards against a failed start that looks like success", async () => {
        const { events, instance } = create(SETTINGS, undefined);
        assert.equal(await instance.run("x"), ExitCode.Failure);
        assert.ok(events.includes(CliEvent.StartFailed));
    });

    describe("signals", () => {
        it("guards against a stop without a drain of 30 s by default", async () => {
            const role = new FakeRole(() => Promise.resolve([]));
            const { terminal, events, started, instance } = create(SETTINGS, role);
            const end = instance.run("x");
            await started;
            terminal.signal("SIGTERM");
            assert.equal(await end, ExitCode.Success);
            assert.deepEqual([role.limits, role.disposed], [[30_000], 1]);
            assert.ok(events.includes(CliEvent.DrainCompleted));
        });

        it("guards against a signal during the start that is lost or kills the process at once", async () => {
            const role = new FakeRole(() => Promise.resolve([]));
            const { terminal, events, instance } = create(SETTINGS, role);
            const end = instance.run("x");
            await Promise.resolve();
            await Promise.resolve();
            assert.ok(!events.includes(CliEvent.RoleStarted));
            terminal.signal("SIGTERM");
            assert.equal(await end, ExitCode.Success);
            assert.deepEqual(role.limits, [30_000]);
        });

        it("guards against a second signal that does not end a drain or hides unfinished work", async () => {
            const role = new FakeRole(limitMs =>
                limitMs === 0 ? Promise.resolve(["job 7"]) : new Promise(() => undefined)
            );
            const { terminal, events, started, instance } = create(SETTINGS, role);
            const end = instance.run("x");
            await started;
            terminal.signal("SIGTERM");
            await settle();
            terminal.signal("SIGINT");
            assert.equal(await end, ExitCode.Failure);
            assert.deepEqual([role.limits, role.disposed], [[30_000, 0], 1]);
            assert.ok(events.includes(CliEvent.DrainForced) && events.includes(CliEvent.WorkLeft));
        });

        it("guards against a drain that outlasts its limit", async () => {
            const role = new FakeRole(limitMs =>
                limitMs === 0 ? Promise.resolve(["job 8"]) : new Promise(() => undefined)
            );
            const { terminal, events, clock, started, instance } = create(SETTINGS, role);
            const end = instance.run("x");
            await started;
            terminal.signal("SIGTERM");
            await settle();
            clock.advance(31_000);
            assert.equal(await end, ExitCode.Failure);
            assert.ok(events.includes(CliEvent.DrainLimitPassed));
            assert.equal(role.disposed, 1);
        });
    });
});
