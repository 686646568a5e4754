import { SeededRandom } from "../common/SeededRandom.js";
import { EmbeddedDeployment } from "./EmbeddedDeployment.js";
import { InjectedFault } from "./InjectedFault.js";
import type { JobResult } from "./JobResult.js";
import { LoadClient } from "./LoadClient.js";
import type { LoadRun } from "./LoadRun.js";
import type { LoadTarget } from "./LoadTarget.js";
import type { PlannedJob } from "./PlannedJob.js";
import type { Profile } from "./Profile.js";
import type { Scenario } from "./Scenario.js";
import { Workload } from "./Workload.js";

const WIRE_COUNTER_PREFIX = "wire.sent.";
const RELAYED_JOBS_COUNTER = "peers.calls.job.submit";

/** Number of tasks that a faulty worker may start before further ones count as lost to the fault. */
const TOLERATED_FAILURES = 10;

interface Options {
    readonly profile: Profile;
    readonly scenario: Scenario;
    readonly scheduler: string;
    readonly seed: number;
    /** Running entries to send the load to; without it, the deployment of the profile is started in this process. */
    readonly target?: LoadTarget | undefined;
}

/** Runs one scenario as an open-loop load and returns the measurements. */
export async function runLoad(options: Options): Promise<LoadRun> {
    const jobs = new Workload(options.profile, options.scenario, new SeededRandom(options.seed)).plan();
    if (options.target !== undefined) {
        return runAgainst(options, options.target, jobs, undefined);
    }
    const deployment = new EmbeddedDeployment(options.profile, options.scheduler, options.seed);
    try {
        await deployment.start();
        return await runAgainst(options, deployment.target, jobs, deployment);
    }
    finally {
        await deployment.stop();
    }
}

async function runAgainst(
    options: Options,
    target: LoadTarget,
    jobs: readonly PlannedJob[],
    deployment: EmbeddedDeployment | undefined,
): Promise<LoadRun> {
    const { profile, scenario, scheduler, seed } = options;
    const client = new LoadClient(target);
    await client.prepare();
    deployment?.metrics.reset();
    const startedAt = Date.now();
    const injected = injectFault(scenario, deployment);
    const submissions = await sendAll(client, scenario, jobs);
    const messages = deployment?.metrics.withPrefix(WIRE_COUNTER_PREFIX) ?? new Map<string, number>();
    const relayedJobs = deployment?.metrics.withPrefix(RELAYED_JOBS_COUNTER).get("") ?? 0;
    const results = await Promise.all(submissions);
    await injected;
    await client.close();
    const isFaultyWorker = scenario.injection === InjectedFault.FailingWorker
        || scenario.injection === InjectedFault.SilentWorker;
    const lostToFault = deployment !== undefined && isFaultyWorker
        ? Math.max(0, deployment.startsSinceFault - TOLERATED_FAILURES)
        : undefined;
    const repeated = deployment?.countRepeatedStarts(results);
    return { profile, scenario, scheduler, seed, startedAt, results, messages, relayedJobs, repeated, lostToFault };
}

async function injectFault(scenario: Scenario, deployment: EmbeddedDeployment | undefined): Promise<void> {
    if (deployment === undefined || scenario.injection === InjectedFault.None) {
        return;
    }
    await new Promise(resolve => setTimeout(resolve, scenario.injectAtMs));
    await deployment.inject(scenario.injection);
}

/** Sends each job at its planned arrival; resolves with the pending results when the last job was sent. */
async function sendAll(
    client: LoadClient,
    scenario: Scenario,
    jobs: readonly PlannedJob[],
): Promise<readonly Promise<JobResult>[]> {
    const start = performance.now();
    const submissions: Promise<JobResult>[] = [];
    for (const job of jobs) {
        const arrivesAt = start + job.at;
        const waitMs = arrivesAt - performance.now();
        if (waitMs > 0) {
            await new Promise(resolve => setTimeout(resolve, waitMs));
        }
        submissions.push(client.submit(job, arrivesAt, scenario.deadlineMs));
    }
    return submissions;
}
