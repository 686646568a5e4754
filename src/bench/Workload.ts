import type { Random } from "../common/Random.js";
import { capacityOf } from "./capacityOf.js";
import { JobClass } from "./JobClass.js";
import type { PlannedJob } from "./PlannedJob.js";
import type { PlannedTask } from "./PlannedTask.js";
import type { Profile } from "./Profile.js";
import type { Scenario } from "./Scenario.js";

const SHORT_MS = 100;
const SMALL_TASKS = 20;
const REPEATABLE_SHARE = 0.5;

/** Share of tasks whose declared size is wrong by up to `WRONG_FACTOR` in either direction. */
const WRONG_SHARE = 0.3;
const WRONG_FACTOR = 8;

/** Job sizes: shares add up to 1, bounds are numbers of tasks. */
const JOB_SIZES = [
    { share: 0.7, min: 1, max: 1 },
    { share: 0.24, min: 2, max: 20 },
    { share: 0.05, min: 21, max: 100 },
    { share: 0.01, min: 101, max: 400 },
];

/** Plans all jobs of a load run: Poisson arrivals, with a rate in each phase that gives the phase's offered work. */
export class Workload {
    constructor(
        private readonly profile: Profile,
        private readonly scenario: Scenario,
        private readonly random: Random,
    ) {}

    public plan(): PlannedJob[] {
        const jobs: PlannedJob[] = [];
        const capacity = capacityOf(this.profile);
        const workPerJobMs = this.meanTasksPerJob() * this.meanTaskMs();
        let phaseStart = 0;
        for (const phase of this.scenario.phases) {
            const meanGapMs = workPerJobMs / (capacity * phase.load);
            const phaseEnd = phaseStart + phase.durationMs;
            for (let at = phaseStart + this.gap(meanGapMs); at < phaseEnd; at += this.gap(meanGapMs)) {
                jobs.push(this.planJob(jobs.length, at));
            }
            phaseStart = phaseEnd;
        }
        return jobs;
    }

    private gap(meanMs: number): number {
        return -Math.log(1 - this.random.next()) * meanMs;
    }

    private planJob(index: number, at: number): PlannedJob {
        const size = this.pick(JOB_SIZES);
        const count = size.min + Math.floor(this.random.next() * (size.max - size.min + 1));
        const tasks = Array.from({ length: count }, () => this.planTask());
        const team = this.pick(this.profile.teams.map(({ name, demandShare }) => ({ name, share: demandShare }))).name;
        return { index, at, team, jobClass: classOf(tasks), tasks };
    }

    private planTask(): PlannedTask {
        const { mix } = this.scenario;
        const { minMs, maxMs } = this.pick(mix.classes);
        const usualMs = minMs + this.random.next() * (maxMs - minMs);
        const isStraggler = this.random.next() < mix.stragglerShare;
        const isWrong = this.random.next() < WRONG_SHARE;
        const error = WRONG_FACTOR ** (2 * this.random.next() - 1);
        return {
            runMs: Math.round(isStraggler ? usualMs * mix.stragglerFactor : usualMs),
            declaredMs: Math.max(1, Math.round(isWrong ? usualMs * error : usualMs)),
            repeatable: this.random.next() < REPEATABLE_SHARE,
        };
    }

    private pick<T extends { readonly share: number; }>(choices: readonly T[]): T {
        let rest = this.random.next();
        const chosen = choices.find(choice => {
            rest -= choice.share;
            return rest < 0;
        }) ?? choices.at(-1);
        if (chosen === undefined) {
            throw new Error("cannot pick from an empty list of choices");
        }
        return chosen;
    }

    private meanTasksPerJob(): number {
        return JOB_SIZES.reduce((sum, size) => sum + size.share * (size.min + size.max) / 2, 0);
    }

    private meanTaskMs(): number {
        const { classes, stragglerShare, stragglerFactor } = this.scenario.mix;
        const usualMs = classes.reduce((sum, { share, minMs, maxMs }) => sum + share * (minMs + maxMs) / 2, 0);
        return usualMs * (1 + stragglerShare * (stragglerFactor - 1));
    }
}

function classOf(tasks: readonly PlannedTask[]): JobClass {
    const first = tasks[0];
    if (tasks.length === 1 && first !== undefined) {
        return first.runMs <= SHORT_MS ? JobClass.ShortSingle : JobClass.Single;
    }
    return tasks.length <= SMALL_TASKS ? JobClass.Small : JobClass.Large;
}
