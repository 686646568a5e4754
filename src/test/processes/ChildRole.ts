import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";

const WAIT_LIMIT_MS = 30_000;
const POLL_MS = 20;

/** One log line of a role. */
interface LogLine {
    readonly message: string;
    readonly context: Readonly<Record<string, unknown>>;
}

/** Exit code or signal of a process that has exited. */
interface Exit {
    readonly code: number | null;
    readonly signal: NodeJS.Signals | null;
}

/** A role that runs as a child process, for tests with signals and crashes. */
export class ChildRole {
    public readonly lines: LogLine[] = [];
    public exit: Exit | undefined;

    private constructor(public readonly name: string, private readonly child: ChildProcess) {
        assert.ok(child.stderr !== null);
        createInterface({ input: child.stderr }).on("line", text => {
            this.read(text);
        });
        child.once("exit", (code, signal) => {
            this.exit = { code, signal };
        });
    }

    /** Starts a role. Its settings request port 0; its log lines contain the actual ports. */
    public static start(role: string, settingsPath: string, name: string): ChildRole {
        const env = { ...process.env, NODE_TEST_CONTEXT: undefined };
        const args = ["--import", "tsx", "src/main.ts", role, "--settings", settingsPath];
        return new ChildRole(name, spawn(process.execPath, args, { env, stdio: ["ignore", "ignore", "pipe"] }));
    }

    /** Waits until `condition` holds; after `WAIT_LIMIT_MS` it fails and names `what` it waited for. */
    public static async until(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
        const deadline = performance.now() + WAIT_LIMIT_MS;
        while (!await condition()) {
            assert.ok(performance.now() < deadline, `timed out waiting for ${what}`);
            await sleep(POLL_MS);
        }
    }

    /** How many events with the number `event` were logged. */
    public count(event: number): number {
        return this.lines.filter(line => line.context["event"] === event).length;
    }

    /** Field `name` of the first logged event with the number `event`, as a number. */
    public field(event: number, name: string): number {
        return Number(this.lines.find(line => line.context["event"] === event)?.context[name]);
    }

    public async untilEvent(event: number): Promise<void> {
        await ChildRole.until(`event ${event} of ${this.name}`, () => {
            assert.equal(this.exit, undefined, `${this.name} exited: ${JSON.stringify(this.lines.slice(-3))}`);
            return this.count(event) > 0;
        });
    }

    public kill(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    public async untilExit(): Promise<Exit> {
        await ChildRole.until(`the exit of ${this.name}`, () => this.exit !== undefined);
        return this.exit!;
    }

    /** Kills the process with SIGKILL, also while it is suspended by SIGSTOP. */
    public async destroy(): Promise<void> {
        if (this.exit === undefined) {
            const ended = once(this.child, "exit");
            this.child.kill("SIGKILL");
            await ended;
        }
    }

    private read(text: string): void {
        try {
            this.lines.push(JSON.parse(text) as LogLine);
        }
        catch {
            this.lines.push({ message: text, context: {} });
        }
    }
}
