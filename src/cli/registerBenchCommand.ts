import type { Command } from "commander";
import type { BenchOptions } from "./BenchOptions.js";
import type { ExitCode } from "./ExitCode.js";
import { parseNonNegativeInteger } from "./parseNonNegativeInteger.js";
import type { Terminal } from "./Terminal.js";

/** Adds the subcommand of the load tool. */
export function registerBenchCommand(program: Command, terminal: Terminal, finish: (code: ExitCode) => void): void {
    program.command("bench")
        .description("Load a deployment and compare it with the ideal and the stated targets")
        .requiredOption("--profile <name>", "kotuku or brno")
        .requiredOption("--scenario <name>", "steady, crest, mixed, sick, silent, killworker or killentry")
        .option("--scheduler <names...>", "schedulers to compare: fair, fifo, random, two-choices", ["fair"])
        .option("--seed <n>", "seed of the arrivals", parseNonNegativeInteger, 1)
        .option("--report <file>", "write the reports as JSON")
        .option("--entry <urls...>", "entries that run already; without it the deployment runs in this process")
        .option("--token <team=token...>", "caller token of each team, with --entry")
        .action(async (options: BenchOptions) => {
            const { bench } = await import("./commands/bench.js");
            finish(await bench(terminal, options));
        });
}
