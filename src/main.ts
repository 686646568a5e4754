import { registerBench } from "./cli/registerBench.js";
import { registerClients } from "./cli/registerClients.js";
import { registerRoles } from "./cli/registerRoles.js";
import { runCommandLine } from "./cli/runCommandLine.js";
import { SystemTerminal } from "./cli/SystemTerminal.js";

const version = process.env["WAXWINGSHUNT_VERSION"] ?? "development";
const registers = [registerRoles, registerClients, registerBench];

void runCommandLine(process.argv.slice(2), new SystemTerminal(), version, registers).then(code => {
    process.exitCode = code;
});
