import type { Random } from "../../../common/Random.js";
import type { JobKind } from "./JobKind.js";
import type { OfferedLoad } from "./OfferedLoad.js";
import type { TrialJob } from "./TrialJob.js";

const STRAGGLER_SHARE = 0.002;
const STRAGGLER_FACTOR = 10;
const UNDECLARED_SHARE = 0.1;
const MISDECLARED_SHARE = 0.03;

/** Generates random jobs with Poisson arrivals until `untilMs`. */
export function generateJobs(
    random: Random,
    kinds: readonly JobKind[],
    offered: OfferedLoad,
    untilMs: number,
    deadlineMs: number,
): TrialJob[] {
    const meanWork = meanWorkOf(random, kinds);
    const jobs: TrialJob[] = [];
    for (let at = 0; at < untilMs;) {
        at += -Math.log(1 - random.next()) * meanWork / offered(at);
        jobs.push(generateJob(random, kinds, `j${jobs.length}`, at, deadlineMs));
    }
    return jobs;
}

function meanWorkOf(random: Random, kinds: readonly JobKind[]): number {
    const samples = 5000;
    let total = 0;
    for (let sample = 0; sample < samples; sample += 1) {
        total += generateJob(random, kinds, "", 0, 0).tasks.reduce((sum, task) => sum + task.runMs, 0);
    }
    return total / samples;
}

function generateJob(random: Random, kinds: readonly JobKind[], id: string, at: number, deadlineMs: number): TrialJob {
    const kind = pickKind(random, kinds);
    const count = Math.round(drawLogUniform(random, kind.tasks));
    const centreMs = drawLogUniform(random, kind.runMs);
    const tasks = Array.from({ length: count }, () => generateTask(random, centreMs));
    return { id, team: kind.team, at, deadlineMs, tasks };
}

function generateTask(random: Random, centreMs: number): TrialJob["tasks"][number] {
    const usual = centreMs * drawLogUniform(random, [0.6, 1.6]);
    const runMs = random.next() < STRAGGLER_SHARE ? usual * STRAGGLER_FACTOR : usual;
    const error = random.next() < MISDECLARED_SHARE
        ? drawLogUniform(random, [0.1, 10])
        : drawLogUniform(random, [0.6, 1.6]);
    return { runMs, declaredMs: random.next() < UNDECLARED_SHARE ? undefined : usual * error };
}

function pickKind(random: Random, kinds: readonly JobKind[]): JobKind {
    let left = random.next() * kinds.reduce((sum, kind) => sum + kind.weight, 0);
    const found = kinds.find(kind => (left -= kind.weight) < 0);
    return found ?? kinds[0] as JobKind;
}

function drawLogUniform(random: Random, [low, high]: readonly [number, number]): number {
    return low * (high / low) ** random.next();
}
