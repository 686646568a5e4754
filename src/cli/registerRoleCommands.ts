import type { Command } from "commander";
import type { ExitCode } from "./ExitCode.js";
import type { Terminal } from "./Terminal.js";

type RunRole = (terminal: Terminal, options: { readonly settings: string; }) => Promise<ExitCode>;

/** Adds the subcommands that run a role; each loads only its own modules. */
export function registerRoleCommands(program: Command, terminal: Terminal, finish: (code: ExitCode) => void): void {
    const add = (name: string, description: string, load: () => Promise<RunRole>) => {
        program.command(name)
            .description(description)
            .requiredOption("--settings <file>", "JSON settings; - reads standard input")
            .action(async (options: { readonly settings: string; }) => {
                finish(await (await load())(terminal, options));
            });
    };
    add("entry", "Run an entry", async () => (await import("./commands/runEntry.js")).runEntry);
    add("agent", "Run an agent beside an endpoint", async () => (await import("./commands/runAgent.js")).runAgent);
    add("platform", "Run the stub of the platform's store", async () => {
        return (await import("./commands/runPlatform.js")).runPlatform;
    });
    add("endpoint", "Run the endpoint stub", async () => {
        return (await import("./commands/runEndpoint.js")).runEndpoint;
    });
    program.command("node")
        .description("Run an entry or agent on a machine of the platform, as its settings file says")
        .option("--settings <file>", "settings file of the platform; default is the one in WAXWINGSHUNT_CONFIG")
        .option("--wire-listen <ip:port>", "listen here for agents, while they connect to a proxy at the usual address")
        .action(async (options: { readonly settings?: string; readonly wireListen?: string; }) => {
            finish(await (await import("./commands/runNode.js")).runNode(terminal, options));
        });
    program.command("demo")
        .description("Run a whole deployment on loopback, submit one job and stop everything")
        .action(async () => {
            const { demo } = await import("./commands/demo.js");
            finish(await demo(terminal));
        });
}
