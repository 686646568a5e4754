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
 * Caller that submits one small job after another through the entries in turn. It submits again under the same ticket
 * when a connection fails, and under a new ticket when nothing of the job was run.
 */
export class LoadCaller {
    public readonly completed: { readonly ticket: string; readonly tasks: number; }[] = [];
    /** Answers and refusals that leave the fate of a job open. */
    public readonly problems: string[] = [];
    private stopped = false;
    private turn = 0;

    constructor(private readonly deployment: Deployment) {}

    /** Finishes the job at hand, then ends. */
    public stop(): void {
        this.stopped = true;
    }

    public async run(): Promise<void> {
        while (!this.stopped) {
            let done = false;
            await ChildRole.until("the end of a job", async () => {
                done = done || await this.tryJob();
                return done;
            });
        }
    }

    /** True when the job is complete or has left a problem; false when it was not run and needs a new ticket. */
    private async tryJob(): Promise<boolean> {
        const ticket = await this.takeTicket();
        if (ticket === undefined) {
            await sleep(PAUSE_MS);
            return false;
        }
        for (;;) {
            try {
                const { answer, refusal } = await this.next().submit(ticket, RUNS_MS);
                if (answer !== undefined) {
                    return this.judge(ticket, answer);
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

    private judge(ticket: string, answer: JobAnswer): boolean {
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

    private async takeTicket(): Promise<string | undefined> {
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
