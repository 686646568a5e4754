import { join } from "node:path";
import { Recorder } from "./Recorder.mjs";

const HELD = 0;
const BROKEN = 1;
const CANNOT_RUN = 2;

/** The whole script ends within this time. */
const LIMIT_MS = 110_000;

/**
 * Runs a case. `play` gets the recorder, whether there is a disruption, and a function that registers what to close; it
 * returns the lines that say how the rule was broken, or throws when the case cannot run. Ends the process with the exit
 * code of the verdict.
 */
export async function runCase(directory, play) {
    const recorder = new Recorder();
    const withTrouble = process.env.TROUBLE !== "0";
    const closers = [];
    let finished = false;
    const finish = async (code, verdict) => {
        if (finished) {
            return;
        }
        finished = true;
        await Promise.all(closers.map(close => close()));
        recorder.save(join(directory, "record.txt"), [`disruption: ${withTrouble ? "yes" : "no"}`, ...verdict]);
        process.exit(code);
    };
    const fail = error =>
        void finish(CANNOT_RUN, [`cannot run: ${error instanceof Error ? error.stack : String(error)}`]);
    // A failure of a stand-in must not look like a broken rule.
    process.on("uncaughtException", fail);
    process.on("unhandledRejection", fail);
    const limit = setTimeout(() => void finish(CANNOT_RUN, ["cannot run: it takes too long"]), LIMIT_MS);
    try {
        const { broken, seen } = await play(recorder, withTrouble, close => closers.push(close));
        clearTimeout(limit);
        await finish(broken.length > 0 ? BROKEN : HELD, [
            ...seen,
            ...broken,
            broken.length > 0 ? `verdict: broken, ${broken.length} times` : "verdict: held",
        ]);
    }
    catch (error) {
        clearTimeout(limit);
        fail(error);
    }
}

export function wait(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** A random job id: 16 hexadecimal digits. */
export function newId() {
    return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join("");
}
