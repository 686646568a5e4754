// Runs the fault soak: npm run soak -- FIRST_SEED COUNT [SECONDS [ENTRIES AGENTS [PROFILE]]]. PROFILE is a name of
// SOAK_PROFILES. Appends each result to target/soak/runs.jsonl and exits with 1 if a run violated an invariant.
import { appendFileSync, mkdirSync } from "node:fs";
import { loadavg } from "node:os";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { runSoak } from "../platform/soak/runSoak.ts";
import { SOAK_PROFILES } from "../platform/soak/SOAK_PROFILES.ts";

const [first = 1, count = 1, seconds = 10, entries = 3, agents = 4] = process.argv.slice(2, 7).map(Number);
const profileName = process.argv[7] ?? "usual";
const profile = SOAK_PROFILES[profileName];
if (profile === undefined) {
    throw new Error(`no profile ${profileName}; the profiles are ${Object.keys(SOAK_PROFILES).join(", ")}`);
}
const OUTPUT_DIRECTORY = "target/soak";
mkdirSync(OUTPUT_DIRECTORY, { recursive: true });
/** Delay of the event loop of this process, in which the store, the workers and the proxies run. */
const lag = monitorEventLoopDelay();
lag.enable();
let failed = 0;
for (let seed = first; seed < first + count; seed += 1) {
    const directory = `${OUTPUT_DIRECTORY}/${seed}`;
    lag.reset();
    const result = await runSoak({
        seed,
        entries,
        agents,
        lengthMs: seconds * 1000,
        // An agent runs four tasks at once; long runs at a higher rate would only fill the queues.
        jobsPerS: profile.longRunShare > 0 ? agents : 25,
        profile,
        directory,
    });
    const { broken, history, ...counts } = result;
    const figures = { ...counts, maxLagMs: Math.round(lag.max / 1_000_000) };
    failed += broken.length > 0 ? 1 : 0;
    appendFileSync(
        `${OUTPUT_DIRECTORY}/runs.jsonl`,
        JSON.stringify({
            at: new Date(),
            seed,
            seconds,
            entries,
            agents,
            profile: profileName,
            load: loadavg()[0],
            ...result,
            maxLagMs: figures.maxLagMs,
        }) + "\n",
    );
    console.log(`seed ${seed} ${broken.length === 0 ? "kept" : "BROKEN"} ${JSON.stringify(figures)}`);
    [...broken, ...(broken.length > 0 ? history : [])].forEach(line => console.log(`  ${line}`));
}
console.log(`${failed} of ${count} seeds violated an invariant`);
process.exit(failed > 0 ? 1 : 0);
