import type { LinkCountTarget } from "../agent/leased/LinkCountTarget.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { EmulatedDeployment } from "./EmulatedDeployment.js";
import type { LoadPattern } from "./LoadPattern.js";

const ENDPOINT_CPU = 64_000;
const TASK_CPU = 6200;
const TASKS_PER_ENDPOINT = Math.floor(ENDPOINT_CPU / TASK_CPU);

/** The latency target: this many times the longest run at the declared speed, and a fixed part. */
const STRETCH = 1.6;
const TARGET_MS = 60;

/** An answer up to this many targets is late, and worth this share. */
const LATE_TARGETS = 3;
const LATE_WORTH = 0.2;

/** How long a caller waits, as a multiple of the declared run time. */
const BUDGET_FACTOR = 14;

/** Spread of run times, and of declared times around them, as the deviation of their logarithms. */
const RUN_SPREAD = 0.4;
const DECLARED_SPREAD = 0.4;

/** Time before the load begins, and after it. */
const LEAD_MS = 500;
const TAIL_MS = 5000;

/** What the callers of a load got. */
interface LoadResult {
    /** Worth of the answers over the worth of all jobs. */
    readonly worth: number;
    readonly inTarget: number;
    readonly late: number;
    readonly refused: number;
    readonly jobs: number;
}

/** Plays a load on the virtual clock; `linkTarget` decides how many entries each agent is attached to. */
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
    const homes = homesOf(pattern, random);
    const result = { worth: 0, inTarget: 0, late: 0, refused: 0, jobs: 0, owed: 0 };
    const submit = (): void => {
        const kind = pickKind(pattern, random.next());
        const id = (result.jobs + 1).toString(16).padStart(16, "0");
        const times = Array.from({ length: kind.tasks }, () => kind.meanMs * Math.exp(RUN_SPREAD * normal(random)));
        times.forEach((ms, index) => runMs.set(`${id}.0.0.${index}`, ms));
        const declared = kind.meanMs * Math.exp(DECLARED_SPREAD * normal(random));
        const target = STRETCH * Math.max(...times) + TARGET_MS;
        const at = deployment.clock.now();
        result.jobs += 1;
        result.owed += kind.worth;
        const entry = homes[Math.floor(random.next() * homes.length)] ?? 0;
        const stays = new AbortController().signal;
        const budgetMs = BUDGET_FACTOR * declared;
        void deployment.submit(entry, id, kind.tasks, declared, stays, budgetMs, kind.priority).then(outcome => {
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
    await deployment.advance(LEAD_MS);
    const rate = ratePerMs(pattern);
    for (let passed = 0; passed < pattern.lengthMs; passed += 1) {
        const expected = rate * pattern.utilisation(passed);
        for (let count = poisson(expected, random); count > 0; count -= 1) {
            submit();
        }
        await deployment.advance(1);
    }
    await deployment.advance(TAIL_MS);
    const { jobs, inTarget, late, refused } = result;
    return {
        worth: result.worth / result.owed,
        inTarget: inTarget / jobs,
        late: late / jobs,
        refused: refused / jobs,
        jobs,
    };
}

/** Entries that submissions are spread over; an entry with several callers is in the list several times. */
function homesOf({ entries, callers }: LoadPattern, random: SeededRandom): readonly number[] {
    return callers === undefined
        ? Array.from({ length: entries }, (_, entry) => entry)
        : Array.from({ length: callers }, () => Math.floor(random.next() * entries));
}

/** Jobs a millisecond that use all endpoints up. */
function ratePerMs({ slowness, kinds }: LoadPattern): number {
    const capacity = slowness.reduce((sum, factor) => sum + TASKS_PER_ENDPOINT / factor, 0);
    const spread = Math.exp(RUN_SPREAD ** 2 / 2);
    const shares = kinds.reduce((sum, kind) => sum + kind.share, 0);
    const work = kinds.reduce((sum, kind) => sum + kind.share * kind.tasks * kind.meanMs * spread, 0) / shares;
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
        throw new Error("a load needs a kind of job");
    }
    return kind;
}

function poisson(mean: number, random: SeededRandom): number {
    const limit = Math.exp(-mean);
    let count = 0;
    for (let product = random.next(); product > limit; product *= random.next()) {
        count += 1;
    }
    return count;
}

function normal(random: SeededRandom): number {
    return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}
