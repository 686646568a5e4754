import { fork } from "node:child_process";

/** A worker stand-in that runs in a process of its own. */
export class RemoteWorker {
    #child;
    #options;

    constructor(options) {
        this.#options = options;
    }

    get id() {
        return this.#options.id;
    }

    async start() {
        const program = new URL("workerProcess.mjs", import.meta.url).pathname;
        this.#child = fork(program, [JSON.stringify(this.#options)]);
        await new Promise((resolve, reject) => {
            this.#child.once("message", resolve);
            this.#child.once("exit", () => reject(new Error("a worker stand-in does not start")));
        });
    }

    /** Leaves this share of the starts and stops unanswered from now on, and carries them out late. */
    setLateShare(lateShare) {
        this.#child.send({ lateShare });
    }

    /** Number of runs so far, and of those that ended as done. */
    report() {
        return new Promise(resolve => {
            this.#child.once("message", resolve);
            this.#child.send("report");
        });
    }

    close() {
        this.#child?.kill("SIGKILL");
    }
}
