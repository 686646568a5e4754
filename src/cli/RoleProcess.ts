import type * as z from "zod/mini";
import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";
import { parseWithSchema } from "../common/settings/parseWithSchema.js";
import { CliEvent } from "./CliEvent.js";
import { createRuntime } from "./createRuntime.js";
import { ExitCode } from "./ExitCode.js";
import { GracefulStop } from "./GracefulStop.js";
import type { RoleStarter } from "./RoleStarter.js";
import { StopSignals } from "./StopSignals.js";
import type { Terminal } from "./Terminal.js";

const DEFAULT_DRAIN_LIMIT_MS = 30_000;

/** Settings that every role may have; absent ones take a default. */
interface CommonSettings {
    readonly id?: string;
    readonly drainLimitMs?: number;
    readonly metrics?: { readonly host: string; readonly port: number; } | undefined;
}

/** Runs one role in this process: reads its settings, starts it, and stops it gracefully after a signal. */
export class RoleProcess<T extends z.ZodMiniType> {
    constructor(
        private readonly name: string,
        private readonly schema: T,
        private readonly load: () => Promise<RoleStarter<z.infer<T>>>,
        private readonly terminal: Terminal,
        private readonly runtimeFactory: typeof createRuntime = createRuntime,
    ) {}

    /** Runs until a signal; returns the exit code of the process. */
    public async run(path: string): Promise<ExitCode> {
        const settings = await this.readSettings(path);
        if (settings === undefined) {
            return ExitCode.Usage;
        }
        const signals = new StopSignals(this.terminal);
        try {
            return await this.runRole(settings.value, signals);
        }
        finally {
            signals.dispose();
        }
    }

    private async runRole(settings: z.infer<T>, signals: StopSignals): Promise<ExitCode> {
        const common = settings as CommonSettings;
        const fields = { role: this.name, ...(common.id === undefined ? {} : { id: common.id }) };
        const runtime = await this.runtimeFactory(fields, common.metrics);
        const role = await this.start(settings, runtime);
        if (role === undefined) {
            return ExitCode.Failure;
        }
        const limitMs = common.drainLimitMs ?? DEFAULT_DRAIN_LIMIT_MS;
        const code = await new GracefulStop(role, runtime, limitMs).run(signals);
        runtime.metrics.close();
        return code;
    }

    private async readSettings(path: string): Promise<{ readonly value: z.infer<T>; } | undefined> {
        let text: string;
        try {
            text = await this.terminal.readText(path);
        }
        catch (error) {
            this.terminal.printError(`cannot read settings from ${path}: ${(error as Error).message}`);
            return undefined;
        }
        return parseWithSchema(this.schema, text).caseOf({
            Left: faults => {
                this.terminal.printError(`settings of ${this.name} are invalid, ${faults.length} fault(s):`);
                faults.forEach(fault => this.terminal.printError(`  ${fault}`));
                return undefined;
            },
            Right: value => ({ value }),
        });
    }

    private async start(settings: z.infer<T>, runtime: Runtime): Promise<RunningRole | undefined> {
        try {
            const role = await (await this.load()).start(settings, runtime);
            runtime.log.write(CliEvent.RoleStarted);
            return role;
        }
        catch (error) {
            runtime.log.write(CliEvent.StartFailed, { error: (error as Error).message });
            runtime.metrics.close();
            return undefined;
        }
    }
}
