// Plays random faults on the virtual clock: npm run emulate:faults -- FIRST_SEED COUNT. Prints what fails.
import { playFaults } from "../src/emulator/playFaults.ts";

const [first = 1, count = 50] = process.argv.slice(2).map(Number);
let failed = 0;
for (let seed = first; seed < first + count; seed += 1) {
    const result = await playFaults(seed);
    const served = result.completed / result.submitted;
    if (result.overlap !== undefined || result.open > 0 || result.falselyRefused.length > 0 || served < 0.5) {
        failed += 1;
        console.log(seed, JSON.stringify(result));
    }
}
console.log(`${count} seeds from ${first}: ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
