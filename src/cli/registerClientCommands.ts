import { type Command, Option } from "commander";
import type { EntryOptions } from "./EntryOptions.js";
import type { ExitCode } from "./ExitCode.js";
import { parseNonNegativeInteger } from "./parseNonNegativeInteger.js";
import { parseTicket } from "./parseTicket.js";
import type { Terminal } from "./Terminal.js";

const DEFAULT_DEADLINE_MS = 60_000;

type Finish = (code: ExitCode) => void;
type SubmitOptions = EntryOptions & { readonly service: string; readonly deadlineMs: number; };

/** Adds the subcommands that talk to entries; each loads only its own modules. */
export function registerClientCommands(program: Command, terminal: Terminal, finish: Finish): void {
    registerJobs(program, terminal, finish);
    registerConfiguration(program.command("config").description("Read and change the configuration"), terminal, finish);
    client(program.command("drain"), "Ask every given entry to drain").action(async (options: EntryOptions) => {
        finish(await (await import("./commands/drain.js")).drain(terminal, options));
    });
}

function registerJobs(program: Command, terminal: Terminal, finish: Finish): void {
    client(program.command("submit"), "Submit a JSON list of tasks as one job and print its answer")
        .argument("[file]", "JSON list of {payload, sizeMs?, repeatable?}; - reads standard input", "-")
        .requiredOption("--service <name>", "service that runs the tasks")
        .option("--deadline-ms <ms>", "time for the whole job", parseNonNegativeInteger, DEFAULT_DEADLINE_MS)
        .addOption(new Option("--on-failure <policy>", "what follows a failed task").choices(["stop", "continue"]))
        .option("--ticket <ticket>", "resubmit under this ticket")
        .action(async (path: string, options: SubmitOptions) => {
            finish(await (await import("./commands/submit.js")).submit(terminal, path, options));
        });
    ticketClient(program.command("status"), "Show a job, or the members and services", "[ticket]")
        .action(async (ticket: string | undefined, options: EntryOptions) => {
            finish(await (await import("./commands/showStatus.js")).showStatus(terminal, ticket, options));
        });
    ticketClient(program.command("cancel"), "Cancel a job", "<ticket>")
        .action(async (ticket: string, options: EntryOptions) => {
            finish(await (await import("./commands/cancel.js")).cancel(terminal, ticket, options));
        });
    ticketClient(program.command("explain"), "Show what happened to a job, in order", "<ticket>")
        .action(async (ticket: string, options: EntryOptions) => {
            finish(await (await import("./commands/explain.js")).explain(terminal, ticket, options));
        });
}

function registerConfiguration(config: Command, terminal: Terminal, finish: Finish): void {
    client(config.command("get"), "Show the configuration or one team's section")
        .argument("[team]")
        .action(async (team: string | undefined, options: EntryOptions) => {
            const { getConfiguration } = await import("./commands/getConfiguration.js");
            finish(await getConfiguration(terminal, team, options));
        });
    client(config.command("put"), "Replace the section of a team")
        .argument("<team>")
        .argument("[file]", "JSON section; - reads standard input", "-")
        .requiredOption("--revision <n>", "section revision that you saw; 0 for a new section", parseNonNegativeInteger)
        .action(async (team: string, path: string, options: EntryOptions & { readonly revision: number; }) => {
            const { putConfiguration } = await import("./commands/putConfiguration.js");
            finish(await putConfiguration(terminal, team, path, options));
        });
    client(config.command("check"), "Check a section without writing it")
        .argument("[file]", "JSON section; - reads standard input", "-")
        .action(async (path: string, options: EntryOptions) => {
            const { checkConfiguration } = await import("./commands/checkConfiguration.js");
            finish(await checkConfiguration(terminal, path, options));
        });
    client(config.command("status"), "Show the revision in force at each member").action(
        async (options: EntryOptions) => {
            const { showConfigurationStatus } = await import("./commands/showConfigurationStatus.js");
            finish(await showConfigurationStatus(terminal, options));
        },
    );
}

/** Adds the description and the options of every command that talks to entries. */
function client(command: Command, description: string): Command {
    return command
        .description(description)
        .requiredOption("--entry <url>", "base URL of an entry; repeat it for entries that are tried next", collect)
        .addOption(new Option("--token <token>", "bearer token").env("WAXWINGSHUNT_TOKEN").makeOptionMandatory())
        .option("--json", "print JSON");
}

/** Adds a ticket as argument. The command takes an unknown option as argument, because tickets may begin with "-". */
function ticketClient(command: Command, description: string, argument: string): Command {
    return client(command, description)
        .allowUnknownOption()
        .argument(argument, "ticket that submit printed", parseTicket);
}

function collect(url: string, others: readonly string[] = []): readonly string[] {
    return [...others, url];
}
