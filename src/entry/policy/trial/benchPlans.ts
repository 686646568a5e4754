import { createReport } from "../../../bench/createReport.js";
import { PROFILES } from "../../../bench/PROFILES.js";
import type { Report } from "../../../bench/Report.js";
import { SCENARIOS } from "../../../bench/SCENARIOS.js";
import { SeededRandom } from "../../../common/SeededRandom.js";
import { createScheduler } from "../createScheduler.js";
import { runPlan } from "./runPlan.js";

// Runs the plans of the load tool in virtual time:
// npx tsx src/entry/policy/trial/benchPlans.ts SCHEDULERS FIRST_SEED LAST_SEED [SCENARIOS [PROFILE]]
// where SCHEDULERS and SCENARIOS are comma-separated lists.

type Kind = Parameters<typeof createScheduler>[0];

const [schedulers = "fair", first = "1", last = "10", scenarios = "steady,mixed,crest", profileName = "kotuku"] =
    process.argv.slice(2);

function figuresOf(report: Report): Record<string, number> {
    const figures = Object.fromEntries(report.targets.map(({ name, value }) => [name, value]));
    delete figures["messages per task beyond two"];
    delete figures["tasks started twice"];
    delete figures["lost jobs"];
    delete figures["p99 time to a refusal in ms"];
    return { ...figures, refused: report.jobs.refused, failed: report.jobs.failed };
}

function print(label: string, figures: Record<string, number>): void {
    const text = Object.entries(figures).map(([name, value]) => `${name} ${value.toFixed(2)}`).join(" | ");
    process.stdout.write(`${label}: ${text}\n`);
}

function summarizeAll(label: string, all: readonly Record<string, number>[]): void {
    const names = Object.keys(all[0] ?? {});
    const over = (fold: (values: number[]) => number) =>
        Object.fromEntries(names.map(name => [name, fold(all.map(figures => figures[name] ?? NaN))]));
    print(`${label} mean`, over(values => values.reduce((sum, value) => sum + value, 0) / values.length));
    print(`${label} min `, over(values => Math.min(...values)));
    print(`${label} max `, over(values => Math.max(...values)));
}

const profile = PROFILES[profileName];
for (const name of scenarios.split(",")) {
    for (const kind of schedulers.split(",")) {
        const scenario = SCENARIOS[name];
        const all: Record<string, number>[] = [];
        for (
            let seed = Number(first);
            seed <= Number(last) && profile !== undefined && scenario !== undefined;
            seed += 1
        ) {
            const scheduler = createScheduler(kind as Kind, new SeededRandom(seed));
            const figures = figuresOf(createReport(runPlan(scheduler, kind, profile, scenario, seed)));
            print(`${name} ${kind} seed ${seed}`, figures);
            all.push(figures);
        }
        summarizeAll(`${name} ${kind}`, all);
    }
}
