import { writeFile } from "node:fs/promises";
import { createReport } from "../../bench/createReport.js";
import { formatReport } from "../../bench/formatReport.js";
import type { LoadTarget } from "../../bench/LoadTarget.js";
import { PROFILES } from "../../bench/PROFILES.js";
import { runLoad } from "../../bench/runLoad.js";
import { SCENARIOS } from "../../bench/SCENARIOS.js";
import type { BenchOptions } from "../BenchOptions.js";
import { ExitCode } from "../ExitCode.js";
import type { Terminal } from "../Terminal.js";

/** Runs a load scenario with each scheduler and prints the reports; fails when the first scheduler misses a target. */
export async function bench(terminal: Terminal, options: BenchOptions): Promise<ExitCode> {
    const profile = PROFILES[options.profile];
    const scenario = SCENARIOS[options.scenario];
    if (profile === undefined || scenario === undefined) {
        const known = `profiles: ${Object.keys(PROFILES).join(", ")}; scenarios: ${Object.keys(SCENARIOS).join(", ")}`;
        terminal.printError(`unknown profile "${options.profile}" or scenario "${options.scenario}"; ${known}`);
        return ExitCode.Usage;
    }
    const target = targetOf(options, profile.service);
    const reports = [];
    for (const scheduler of options.scheduler) {
        const run = await runLoad({ profile, scenario, scheduler, seed: options.seed, target });
        const report = createReport(run);
        reports.push(report);
        terminal.print(formatReport(report));
    }
    if (options.report !== undefined) {
        await writeFile(options.report, JSON.stringify(reports, undefined, 2) + "\n");
    }
    const missed = reports[0]?.targets.some(found => !found.met) === true;
    return missed ? ExitCode.Failure : ExitCode.Success;
}

/** Returns the entries given with `--entry` and the tokens given as `--token TEAM=TOKEN`; undefined without entries. */
function targetOf(options: BenchOptions, service: string): LoadTarget | undefined {
    if (options.entry === undefined) {
        return undefined;
    }
    const tokens = (options.token ?? []).map(text => {
        const separator = text.indexOf("=");
        return [text.slice(0, separator), text.slice(separator + 1)] as const;
    });
    return { service, entries: options.entry, tokens: new Map(tokens) };
}
