import type { LinkCountTarget } from "../agent/leased/LinkCountTarget.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { EmulatedDeployment } from "./EmulatedDeployment.js";
import type { LoadPattern } from "./LoadPattern.js";

const ENDPOINT_CPU = 64_000;
const TASK_CPU = 6200;
const TASKS_PER_ENDPOINT = Math.floor(ENDPOINT_CPU / TASK_CPU);

/** The latency target of a job is this many times its longest nominal run time, plus a fixed part. */
const STRETCH = 1.6;
const TARGET_MS = 60;

/** A response within this many times the target is late and has this share of its value; a later one has none. */
const LATE_TARGETS = 3;
const LATE_WORTH = 0.2;

/** Time that a caller waits, as a multiple of the declared run time. */
const BUDGET_FACTOR = 14;

/** Standard deviation of the logarithm of run times and of declared run times, which are log-normal. */
const RUN_SPREAD = 0.4;
const DECLARED_SPREAD = 0.4;

/** Time simulated before the load begins, and after it ends. */
const WARMUP_MS = 500;
const COOLDOWN_MS = 5000;

/** Result of one simulation, over all jobs. */
interface LoadResult {
    /** Value of the responses over the value that all jobs would have within their targets. */
    readonly worth: number;
    /** Share of the jobs answered within their target. */
    readonly inTarget: number;
    /** Share of the jobs answered within `LATE_TARGETS` times their target, but not within it. */
    readonly late: number;
    /** Share of the other jobs: refused, failed or answered later. */
    readonly refused: number;
    /** Number of jobs. */
    readonly jobs: number;
}

/** Simulates a load on the virtual clock; `linkTarget` creates the policy for the number of entries of each agent. */
export async function simulateLoad(
    pattern: LoadPattern,
    seed: number,
    linkTarget?: () => LinkCountTarget,
): Promise<LoadResult> {
    const random = new SeededRandom(seed);
    const runMs = new Map<string, number>();
    const deployment = new EmulatedDeployment({
        entries: pattern.entries,
        agents: pattern.slowness.length,
        seed,
        cpu: ENDPOINT_CPU,
        taskCpu: TASK_CPU,
        work: (task, endpoint) => ({ ms: (runMs.get(task) ?? 1) * (pattern.slowness[endpoint] ?? 1), how: "done" }),
        ...(linkTarget === undefined ? {} : { linkTarget }),
    });
    const entriesOfCallers = assignCallers(pattern, random);
    const result = { worth: 0, inTarget: 0, late: 0, refused: 0, jobs: 0, offeredValue: 0 };
    const submit = (): void => {
        const kind = pickKind(pattern, random.next());
        const id = (result.jobs + 1).toString(16).padStart(16, "0");
        const times = Array.from(
            { length: kind.tasks },
            () => kind.medianMs * Math.exp(RUN_SPREAD * sampleNormal(random)),
        );
        times.forEach((ms, index) => runMs.set(`${id}.0.0.${index}`, ms));
        const declared = kind.medianMs * Math.exp(DECLARED_SPREAD * sampleNormal(random));
        const target = STRETCH * Math.max(...times) + TARGET_MS;
        const at = deployment.clock.now();
        result.jobs += 1;
        result.offeredValue += kind.worth;
        const entry = entriesOfCallers[Math.floor(random.next() * entriesOfCallers.length)] ?? 0;
        const connected = new AbortController().signal;
        const budgetMs = BUDGET_FACTOR * declared;
        void deployment.submit(entry, id, kind.tasks, declared, connected, budgetMs, kind.priority).then(outcome => {
            const elapsed = deployment.clock.now() - at;
            if (outcome.kind !== "completed" || elapsed > LATE_TARGETS * target) {
                result.refused += 1;
                return;
            }
            const inTarget = elapsed <= target;
            result.inTarget += inTarget ? 1 : 0;
            result.late += inTarget ? 0 : 1;
            result.worth += kind.worth * (inTarget ? 1 : LATE_WORTH);
        });
    };
    await deployment.advance(WARMUP_MS);
    const rate = ratePerMs(pattern);
    for (let passed = 0; passed < pattern.lengthMs; passed += 1) {
        const expected = rate * pattern.utilisation(passed);
        for (let count = samplePoisson(expected, random); count > 0; count -= 1) {
            submit();
        }
        await deployment.advance(1);
    }
    await deployment.advance(COOLDOWN_MS);
    const { jobs, inTarget, late, refused } = result;
    return {
        worth: result.worth / result.offeredValue,
        inTarget: inTarget / jobs,
        late: late / jobs,
        refused: refused / jobs,
        jobs,
    };
}

/** Returns the entry of each caller, or each entry once without callers. Each submission draws from this list. */
function assignCallers({ entries, callers }: LoadPattern, random: SeededRandom): readonly number[] {
    return callers === undefined
        ? Array.from({ length: entries }, (_, entry) => entry)
        : Array.from({ length: callers }, () => Math.floor(random.next() * entries));
}

/** Arrival rate that loads all endpoints fully, in jobs per millisecond. */
function ratePerMs({ slowness, kinds }: LoadPattern): number {
    const capacity = slowness.reduce((sum, factor) => sum + TASKS_PER_ENDPOINT / factor, 0);
    const spread = Math.exp(RUN_SPREAD ** 2 / 2);
    const shares = kinds.reduce((sum, kind) => sum + kind.share, 0);
    const work = kinds.reduce((sum, kind) => sum + kind.share * kind.tasks * kind.medianMs * spread, 0) / shares;
    return capacity / work;
}

function pickKind(pattern: LoadPattern, at: number): LoadPattern["kinds"][number] {
    const total = pattern.kinds.reduce((sum, kind) => sum + kind.share, 0);
    let left = at * total;
    const found = pattern.kinds.find(kind => {
        left -= kind.share;
        return left < 0;
    });
    const kind = found ?? pattern.kinds[0];
    if (kind === undefined) {
        throw new Error("load pattern has no kinds of jobs");
    }
    return kind;
}

function samplePoisson(mean: number, random: SeededRandom): number {
    const limit = Math.exp(-mean);
    let count = 0;
    for (let product = random.next(); product > limit; product *= random.next()) {
        count += 1;
    }
    return count;
}

function sampleNormal(random: SeededRandom): number {
    return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}
