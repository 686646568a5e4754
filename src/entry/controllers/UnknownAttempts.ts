import type { MessageOf } from "../../common/wire/MessageOf.js";
import { EntryEvent } from "../EntryEvent.js";
import type { AgentLink } from "./AgentLink.js";
import type { Job } from "./Job.js";
import type { JobHistories } from "./JobHistories.js";

interface Dependencies {
    readonly agents: AgentLink;
    readonly histories: JobHistories;
    readonly find: (key: string) => Job | undefined;
    readonly openJobs: () => readonly Job[];
}

/** Resolves, with `revoke`, open attempts whose outcome is unknown because the agent's connection was lost. */
export class UnknownAttempts {
    constructor(private readonly dependencies: Dependencies) {}

    /** Marks the outcome of the agent's open attempts as unknown, after the agent's connection was lost. */
    public markUnknown(agent: string): void {
        this.eachOpen(agent, (job, task, attempt) => {
            const open = job.openAttempt(task);
            if (open !== undefined) {
                open.known = false;
            }
            this.dependencies.histories.record(job.key, EntryEvent.OutcomeUnknown, { task, attempt, agent });
        });
    }

    /** Asks the agent, after the same incarnation has reattached, for the state of each open attempt. */
    public resolve(agent: string): void {
        this.eachOpen(agent, (job, task, attempt) => {
            const { issuer, sequence } = job.ticket;
            this.dependencies.histories.record(job.key, EntryEvent.RevokeSent, { task, attempt, agent });
            this.dependencies.agents.send(agent, { kind: "revoke", issuer, sequence, task, attempt });
        });
    }

    /** Marks an attempt as known, after the agent answered that it is running and that its outcome will follow. */
    public confirmRunning(agent: string, report: MessageOf<"revoked">): void {
        const { task, attempt } = report;
        const job = this.dependencies.find(`${report.issuer}/${report.sequence}`);
        const open = job?.openAttempt(task);
        if (job !== undefined && open?.agent === agent && open.attempt === attempt) {
            open.known = true;
            this.dependencies.histories.record(job.key, EntryEvent.StillRunning, { task, attempt, agent });
        }
    }

    /** Calls `visit` for each open attempt on the agent. */
    public eachOpen(agent: string, visit: (job: Job, task: number, attempt: number) => void): void {
        for (const job of this.dependencies.openJobs()) {
            for (const open of job.openAttempts.filter(attempt => attempt.agent === agent)) {
                visit(job, open.task, open.attempt);
            }
        }
    }
}
