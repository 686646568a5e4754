import { registerBenchCommand } from "./cli/registerBenchCommand.js";
import { registerClientCommands } from "./cli/registerClientCommands.js";
import { registerRoleCommands } from "./cli/registerRoleCommands.js";
import { runCommandLine } from "./cli/runCommandLine.js";
import { SystemTerminal } from "./cli/SystemTerminal.js";

const version = process.env["WAXWINGSHUNT_VERSION"] ?? "development";
const registers = [registerRoleCommands, registerClientCommands, registerBenchCommand];

void runCommandLine(process.argv.slice(2), new SystemTerminal(), version, registers).then(code => {
    process.exitCode = code;
});
