import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";
import { CliEvent } from "./CliEvent.js";
import { ExitCode } from "./ExitCode.js";
import type { StopSignals } from "./StopSignals.js";

/** Time in milliseconds that a role has to report its unfinished work after the drain limit or a second signal. */
const REPORT_LIMIT_MS = 1000;

type DrainResult = { readonly left: readonly string[]; } | "forced" | "limit" | "failed";

/** Drains a role at the first signal and stops it; a second signal or the drain limit stops it at once. */
export class GracefulStop {
    constructor(
        private readonly role: RunningRole,
        private readonly runtime: Pick<Runtime, "clock" | "log">,
        private readonly limitMs: number,
    ) {}

    /** Waits for a signal, then drains and stops the role; returns `Failure` when work was left unfinished. */
    public async run(signals: Pick<StopSignals, "first" | "second">): Promise<ExitCode> {
        try {
            const signal = await signals.first;
            this.runtime.log.write(CliEvent.DrainStarted, { signal, limitMs: this.limitMs });
            return this.report(await this.drain(signals.second));
        }
        finally {
            await this.role.dispose();
        }
    }

    private async drain(forced: Promise<void>): Promise<readonly string[]> {
        const end = await this.race([
            this.drainRole(this.limitMs),
            forced.then((): DrainResult => "forced"),
        ], this.limitMs + REPORT_LIMIT_MS);
        if (typeof end === "object") {
            return end.left;
        }
        const event = { forced: CliEvent.DrainForced, limit: CliEvent.DrainLimitPassed, failed: CliEvent.DrainFailed };
        this.runtime.log.write(event[end]);
        const rest = await this.race([this.drainRole(0)], REPORT_LIMIT_MS);
        return typeof rest === "object"
            ? rest.left
            : ["work of unknown extent: the role did not report its unfinished work"];
    }

    private async drainRole(limitMs: number): Promise<DrainResult> {
        try {
            return { left: await this.role.drain(limitMs) };
        }
        catch {
            return "failed";
        }
    }

    private async race(results: readonly Promise<DrainResult>[], limitMs: number): Promise<DrainResult> {
        let cancel: () => void = () => undefined;
        const limit = new Promise<DrainResult>(resolve => {
            cancel = this.runtime.clock.schedule(limitMs, () => resolve("limit"));
        });
        const end = await Promise.race([...results, limit]);
        cancel();
        return end;
    }

    private report(left: readonly string[]): ExitCode {
        for (const item of left) {
            this.runtime.log.write(CliEvent.WorkLeft, { item });
        }
        if (left.length > 0) {
            return ExitCode.Failure;
        }
        this.runtime.log.write(CliEvent.DrainCompleted);
        return ExitCode.Success;
    }
}
