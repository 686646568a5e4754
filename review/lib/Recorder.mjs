import { writeFileSync } from "node:fs";
import { performance } from "node:perf_hooks";

/** Collects what was sent, answered and run, with times in milliseconds since the start of the script. */
export class Recorder {
    #lines = [];
    #startedAt = performance.now();

    /** Time since the start of the script, in milliseconds. */
    get now() {
        return performance.now() - this.#startedAt;
    }

    write(text) {
        this.#lines.push(`${this.now.toFixed(1).padStart(9)} ${text}`);
    }

    /** Writes all lines to a file, and the lines of the verdict to the file and to standard output. */
    save(path, verdict) {
        writeFileSync(path, `${[...this.#lines, ...verdict].join("\n")}\n`);
        verdict.forEach(line => console.log(line));
    }
}
