import { ExitCode } from "../ExitCode.js";
import type { Terminal } from "../Terminal.js";

/** Environment variable with the path of the settings file on the platform. */
const SETTINGS_VARIABLE = "WAXWINGSHUNT_CONFIG";

const ADDRESS = /^[\d.]+:\d+$/;

interface NodeOptions {
    readonly settings?: string;
    readonly wireListen?: string;
}

/** Runs the role that the platform's settings file names, until a signal stops it. */
export async function runNode(terminal: Terminal, options: NodeOptions): Promise<ExitCode> {
    const path = options.settings ?? process.env[SETTINGS_VARIABLE];
    if (path === undefined) {
        terminal.printError(`no settings file: expected --settings or a path in ${SETTINGS_VARIABLE}`);
        return ExitCode.Usage;
    }
    if (options.wireListen !== undefined && !ADDRESS.test(options.wireListen)) {
        terminal.printError(`invalid --wire-listen: expected ip:port, found ${JSON.stringify(options.wireListen)}`);
        return ExitCode.Usage;
    }
    const { NodeProcess } = await import("../../../platform/NodeProcess.js");
    const code = await new NodeProcess(path, options.wireListen).run(line => terminal.printError(line));
    // Exits explicitly, because connections that peers keep open would keep the process alive.
    process.exit(code);
}
