// Simulates the load patterns on the virtual clock: npm run emulate:load -- FIRST_SEED COUNT [PATTERN...]. Prints the
// mean of each result over the seeds.
import { LOAD_PATTERNS } from "../src/emulator/LOAD_PATTERNS.ts";
import { simulateLoad } from "../src/emulator/simulateLoad.ts";

const [first, count, ...names] = process.argv.slice(2);
const chosen = names.length === 0 ? Object.keys(LOAD_PATTERNS) : names;
for (const name of chosen) {
    const results = [];
    for (let seed = Number(first); seed < Number(first) + Number(count); seed += 1) {
        results.push(await simulateLoad(LOAD_PATTERNS[name], seed));
    }
    const mean = field => (results.reduce((sum, result) => sum + result[field], 0) / results.length).toFixed(3);
    const fields = ["worth", "inTarget", "late", "refused"].map(field => `${field} ${mean(field)}`).join("  ");
    console.log(`${name}  ${fields}  jobs ${mean("jobs")}`);
}
