import { spawn } from "node:child_process";
import { openSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

/** Delay before a process that has ended is started again. */
const RESTART_MS = 300;

/** One process of the system, started with the command of its role in the deploy file and restarted when it ends. */
export class Program {
    #child;
    #closed = false;
    #command;
    #environment;
    #log;

    constructor(role, name, settings, directory) {
        const deploy = readFileSync("deploy/system.toml", "utf8");
        const section = deploy.slice(deploy.indexOf(`[roles.${role}]`));
        this.#command = /^run = "(.*)"$/m.exec(section)[1].split(" ");
        const path = join(directory, `${name}.json`);
        writeFileSync(path, JSON.stringify(settings));
        this.#environment = { PATH: process.env.PATH, HOME: directory, LANG: "C", WAXWINGSHUNT_CONFIG: path };
        this.#log = openSync(join(directory, `${name}.log`), "a");
    }

    start() {
        const [file, ...args] = this.#command;
        this.#child = spawn(file, args, { env: this.#environment, stdio: ["ignore", this.#log, this.#log] });
        this.#child.once("exit", () => {
            if (!this.#closed) {
                setTimeout(() => this.#closed || this.start(), RESTART_MS);
            }
        });
    }

    /** Sends a signal to the process. */
    signal(name) {
        this.#child?.kill(name);
    }

    /** Ends the process for good; resolves once it is gone. */
    close() {
        this.#closed = true;
        const child = this.#child;
        if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            child.once("exit", resolve);
            child.kill("SIGKILL");
        });
    }
}
