// A worker stand-in in a process of its own, so that it is as fast as a real one. The argument is its options as JSON.
import { Recorder } from "./Recorder.mjs";
import { Worker } from "./Worker.mjs";

/** Shortest and longest time after which an order without an answer is carried out. */
const LATE_MS = [2000, 12_000];

const { workMs, need, ...options } = JSON.parse(process.argv[2]);
const worker = new Worker(
    { ...options, workOf: () => workMs * (0.6 + 0.8 * Math.random()), needOf: () => need },
    new Recorder(),
);
process.on("message", message => {
    if (message === "report") {
        process.send({ runs: worker.runs.length, done: worker.runs.filter(({ how }) => how === "done").length });
    }
});
process.on("message", message => {
    if (message.lateShare !== undefined) {
        const [shortestMs, longestMs] = LATE_MS;
        worker.deliveryOf = path => {
            return path.startsWith("/waxwingshunt/run-") && Math.random() < message.lateShare
                ? { kind: "late", delayMs: shortestMs + Math.random() * (longestMs - shortestMs) }
                : { kind: "answered" };
        };
    }
});
process.on("disconnect", () => process.exit(0));
await worker.start();
process.send("ready");
