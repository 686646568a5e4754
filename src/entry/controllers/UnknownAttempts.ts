import type { MessageOf } from "../../common/wire/MessageOf.js";
import { EntryEvent } from "../EntryEvent.js";
import type { AgentLink } from "./AgentLink.js";
import type { Job } from "./Job.js";
import type { Stories } from "./Stories.js";

interface Parts {
    readonly agents: AgentLink;
    readonly stories: Stories;
    readonly find: (key: string) => Job | undefined;
    readonly open: () => readonly Job[];
}

/** Open attempts whose fate is unknown because the agent's connection was lost, and their resolution by `revoke`. */
export class UnknownAttempts {
    constructor(private readonly parts: Parts) {}

    /** The agent's connection was lost: its open attempts stay open with an unknown fate. */
    public markUnknown(agent: string): void {
        this.eachOpen(agent, (job, task, attempt) => {
            const open = job.openAttempt(task);
            if (open !== undefined) {
                open.known = false;
            }
            this.parts.stories.record(job.key, EntryEvent.FateUnknown, { task, attempt, agent });
        });
    }

    /** The same agent incarnation is back: asks it what became of each open attempt. */
    public resolve(agent: string): void {
        this.eachOpen(agent, (job, task, attempt) => {
            const { issuer, sequence } = job.ticket;
            this.parts.stories.record(job.key, EntryEvent.RevokeSent, { task, attempt, agent });
            this.parts.agents.send(agent, { kind: "revoke", issuer, sequence, task, attempt });
        });
    }

    /** The agent answered that the attempt is running and that its outcome will follow. */
    public confirmRunning(agent: string, report: MessageOf<"revoked">): void {
        const { task, attempt } = report;
        const job = this.parts.find(`${report.issuer}/${report.sequence}`);
        const open = job?.openAttempt(task);
        if (job !== undefined && open?.agent === agent && open.attempt === attempt) {
            open.known = true;
            this.parts.stories.record(job.key, EntryEvent.StillRunning, { task, attempt, agent });
        }
    }

    /** Visits the open attempts on an agent. */
    public eachOpen(agent: string, visit: (job: Job, task: number, attempt: number) => void): void {
        for (const job of this.parts.open()) {
            for (const open of job.open.filter(attempt => attempt.agent === agent)) {
                visit(job, open.task, open.attempt);
            }
        }
    }
}
