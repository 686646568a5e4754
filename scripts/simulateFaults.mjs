// Simulates random faults on the virtual clock: npm run emulate:faults -- FIRST_SEED COUNT [PROFILE]. Prints the result
// of each seed that failed and exits with 1 if there is one.
import { FAULT_PROFILES } from "../src/emulator/FAULT_PROFILES.ts";
import { simulateFaults } from "../src/emulator/simulateFaults.ts";

const [first = 1, count = 50] = process.argv.slice(2, 4).map(Number);
const name = process.argv[4] ?? "usual";
const profile = FAULT_PROFILES[name];
if (profile === undefined) {
    throw new Error(`unknown profile "${name}", expected one of ${Object.keys(FAULT_PROFILES).join(", ")}`);
}
let failed = 0;
for (let seed = first; seed < first + count; seed += 1) {
    const result = await simulateFaults(seed, profile);
    const served = result.completed / result.submitted;
    if (result.overlap !== undefined || result.open > 0 || result.falselyRefused.length > 0 || served < 0.5) {
        failed += 1;
        console.log(seed, JSON.stringify(result));
    }
}
console.log(`${count} seeds from ${first}, profile ${name}: ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
