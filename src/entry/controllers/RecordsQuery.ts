import type { Clock } from "../../common/Clock.js";
import type { Ticket } from "../../common/ticket/Ticket.js";
import type { AgentAddress } from "../../common/wire/AgentAddress.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Message } from "../../common/wire/Message.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { Outcome } from "../../common/wire/Outcome.js";
import type { CollectedRecords } from "./CollectedRecords.js";
import type { Dialer } from "./Dialer.js";
import { isConnectionRefused } from "./isConnectionRefused.js";

const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 200;

/** Time for an agent to answer `settle` with its records. */
const RECORDS_TIMEOUT_MS = 2000;

/** Result of one attempt: the records are stored, the agent process has ended, or another attempt is needed. */
type AttemptResult = "done" | "gone" | "retry";

/** Fetches the records that one agent has of one ticket, and waits for the outcomes of tasks that still run there. */
export class RecordsQuery {
    private readonly outcomes = new Map<number, Outcome | undefined>();
    private complete = false;
    private answered = false;
    private digest: string | undefined;
    private aborting = false;
    private channel: Channel | undefined;

    constructor(
        private readonly clock: Clock,
        private readonly dial: Dialer,
        private readonly ticket: Ticket,
        private readonly agent: AgentAddress,
        private readonly until: number,
    ) {}

    /** Incarnation of the agent. */
    public get incarnation(): string {
        return this.agent.incarnation;
    }

    /** Always resolves. The records are incomplete when the agent is unreachable or was restarted. */
    public async fetch(): Promise<CollectedRecords> {
        for (let tries = 1; tries <= MAX_ATTEMPTS; tries++) {
            const result = await this.attempt();
            if (result !== "retry") {
                break;
            }
            await this.pause();
        }
        return { complete: this.complete, digest: this.digest, outcomes: this.outcomes };
    }

    /** Asks the agent to abort the ticket's running tasks, and asks again on each new connection. */
    public abort(): void {
        this.aborting = true;
        const { issuer, sequence } = this.ticket;
        this.channel?.send({ kind: "cancel", issuer, sequence });
    }

    private async attempt(): Promise<AttemptResult> {
        let channel: Channel;
        try {
            channel = await this.dial(this.agent.address);
        }
        catch (error) {
            return isConnectionRefused(error) ? "gone" : "retry";
        }
        if (channel.peer.incarnation !== this.agent.incarnation) {
            channel.close("another incarnation");
            return "gone";
        }
        const result = await this.awaitOutcomes(channel);
        if (result === "retry") {
            channel.dispose();
        }
        else {
            channel.close("settled");
        }
        return result;
    }

    private awaitOutcomes(channel: Channel): Promise<AttemptResult> {
        const { issuer, sequence } = this.ticket;
        return new Promise(resolve => {
            let cancelTimer = this.clock.schedule(RECORDS_TIMEOUT_MS, () => {
                resolve("retry");
            });
            channel.onClose(() => {
                cancelTimer();
                resolve("retry");
            });
            channel.onMessage(message => {
                if (!this.isForTicket(message)) {
                    return;
                }
                cancelTimer();
                if (this.store(message)) {
                    resolve("done");
                    return;
                }
                cancelTimer = this.clock.schedule(this.until - this.clock.now(), () => {
                    resolve("done");
                });
            });
            channel.send({ kind: "settle", issuer, sequence, agent: this.agent.incarnation });
            this.channel = channel;
            if (this.aborting) {
                this.abort();
            }
        });
    }

    private isForTicket(message: Message): message is MessageOf<"records"> | MessageOf<"outcome"> {
        return (message.kind === "records" || message.kind === "outcome")
            && message.issuer === this.ticket.issuer
            && message.sequence === this.ticket.sequence;
    }

    /** Stores records or an outcome; returns true once no task of the ticket runs on the agent any more. */
    private store(message: MessageOf<"records"> | MessageOf<"outcome">): boolean {
        if (message.kind === "outcome") {
            this.outcomes.set(message.outcome.task, message.outcome);
        }
        else {
            this.answered = true;
            this.complete = message.complete;
            this.digest = message.digest ?? undefined;
            for (const record of message.tasks) {
                this.outcomes.set(record.task, record.outcome ?? undefined);
            }
        }
        return this.answered && [...this.outcomes.values()].every(outcome => outcome !== undefined);
    }

    private pause(): Promise<void> {
        return new Promise(resolve => {
            this.clock.schedule(RETRY_DELAY_MS, resolve);
        });
    }
}
