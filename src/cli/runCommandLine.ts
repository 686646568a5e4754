import { Command, CommanderError } from "commander";
import { ExitCode } from "./ExitCode.js";
import type { Terminal } from "./Terminal.js";

/** Adds subcommands to the program; `finish` takes the exit code of the one that ran. */
type Register = (program: Command, terminal: Terminal, finish: (code: ExitCode) => void) => void;

/** Runs one command; `args` are the words after the program's name. Returns the exit code of the process. */
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
