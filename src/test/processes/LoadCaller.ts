import { setTimeout as sleep } from "node:timers/promises";
import type { JobAnswer } from "../../common/job/JobAnswer.js";
import { JobState } from "../../common/job/JobState.js";
import { Verdict } from "../../common/Verdict.js";
import { ChildRole } from "./ChildRole.js";
import type { Deployment } from "./Deployment.js";
import type { EntryCaller } from "./EntryCaller.js";

const RUNS_MS = [5, 20, 50];
const PAUSE_MS = 20;

/**
 * Caller that submits small jobs one after another, round-robin over the entries. It resubmits under the same ticket
 * when a connection fails, and under a new ticket when the verdict says that no task of the job was run.
 */
export class LoadCaller {
    public readonly completed: { readonly ticket: string; readonly tasks: number; }[] = [];
    /** Answers and refusals of jobs that did not complete although a task ran or may have run. */
    public readonly problems: string[] = [];
    private stopped = false;
    private turn = 0;

    constructor(private readonly deployment: Deployment) {}

    /** Stops after the current job. */
    public stop(): void {
        this.stopped = true;
    }

    public async run(): Promise<void> {
        while (!this.stopped) {
            let done = false;
            await ChildRole.until("a job that completes or is recorded as a problem", async () => {
                done = done || await this.tryJob();
                return done;
            });
        }
    }

    /** Returns true if the job completed or was added to `problems`, false if it was not run and needs a new ticket. */
    private async tryJob(): Promise<boolean> {
        const ticket = await this.requestTicket();
        if (ticket === undefined) {
            await sleep(PAUSE_MS);
            return false;
        }
        for (;;) {
            try {
                const { answer, refusal } = await this.next().submit(ticket, RUNS_MS);
                if (answer !== undefined) {
                    return this.recordAnswer(ticket, answer);
                }
                if (refusal.verdict !== Verdict.NotRun) {
                    this.problems.push(`${ticket}: ${JSON.stringify(refusal)}`);
                    return true;
                }
                await sleep(PAUSE_MS);
                return false;
            }
            catch {
                await sleep(PAUSE_MS);
            }
        }
    }

    private recordAnswer(ticket: string, answer: JobAnswer): boolean {
        if (answer.state === JobState.Complete) {
            this.completed.push({ ticket, tasks: RUNS_MS.length });
            return true;
        }
        if (answer.verdict === Verdict.NotRun) {
            return false;
        }
        this.problems.push(JSON.stringify({ ...answer, ticket: this.deployment.keyOf(ticket, 0) }));
        return true;
    }

    private async requestTicket(): Promise<string | undefined> {
        try {
            return (await this.next().tickets(1))[0];
        }
        catch {
            return undefined;
        }
    }

    private next(): EntryCaller {
        const live = this.deployment.entries.filter(entry => entry.role.exit === undefined);
        this.turn += 1;
        return live[this.turn % live.length]!.caller;
    }
}
