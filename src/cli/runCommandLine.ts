import { Command, CommanderError } from "commander";
import { ExitCode } from "./ExitCode.js";
import type { Terminal } from "./Terminal.js";

/** Adds subcommands to the program; `finish` receives the exit code of the subcommand that ran. */
type Register = (program: Command, terminal: Terminal, finish: (code: ExitCode) => void) => void;

/** Runs one command; `args` excludes the name of the program. Returns the exit code of the process. */
export async function runCommandLine(
    args: readonly string[],
    terminal: Terminal,
    version: string,
    registers: readonly Register[],
): Promise<ExitCode> {
    let code: ExitCode = ExitCode.Success;
    const program = new Command("waxwingshunt")
        .description("Dispatcher for jobs of many sub-second tasks")
        .version(version)
        // Options of the program stand before the command, so that none is read into a ticket that begins with "-".
        .enablePositionalOptions()
        .exitOverride()
        .configureOutput({
            writeOut: text => terminal.print(text.trimEnd()),
            writeErr: text => terminal.printError(text.trimEnd()),
        });
    for (const register of registers) {
        register(program, terminal, result => code = result);
    }
    try {
        await program.parseAsync([...args], { from: "user" });
        return code;
    }
    catch (error) {
        if (error instanceof CommanderError) {
            return error.exitCode === 0 ? ExitCode.Success : ExitCode.Usage;
        }
        throw error;
    }
}
