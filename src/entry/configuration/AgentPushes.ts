import type { Clock } from "../../common/Clock.js";
import type { ConfigurationStore } from "../../common/configuration/ConfigurationStore.js";
import { rendezvousRank } from "../../common/rendezvousRank.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { AttachedAgent } from "../AttachedAgent.js";
import type { AttachedAgents } from "../AttachedAgents.js";

/**
 * Attached agents that get the whole document. The others get only the section of their service: with 60 agents, pushing
 * each of 53,000 changes a day to all of them would take 12 KB/s of each entry.
 */
const COPIES = 2;

/** A push is repeated after this time when the agent still reports an older revision. */
const PUSH_AGAIN_MS = 3000;

/** Last push to an agent: its revision then, the pushed revision, and the time. */
interface Push {
    readonly from: number;
    readonly to: number;
    readonly at: number;
}

/** Sends attached agents the parts of the configuration that they lack according to their last heartbeat. */
export class AgentPushes {
    private readonly pushes = new Map<string, Push>();

    constructor(
        private readonly store: ConfigurationStore,
        private readonly agents: AttachedAgents,
        private readonly clock: Clock,
    ) {}

    /** Sends what is lacking and not under way. */
    public push(): void {
        const attached = this.agents.attached();
        const holders = this.holdersOf(attached);
        const ids = new Set(attached.map(({ id }) => id));
        for (const id of [...this.pushes.keys()].filter(known => !ids.has(known))) {
            this.pushes.delete(id);
        }
        for (const agent of attached) {
            if (holders.has(agent.id)) {
                this.pushDocument(agent);
            }
            else {
                this.pushSection(agent);
            }
        }
    }

    /** Each agent with the revision up to which it has what it uses. */
    public revisions(): readonly { readonly id: string; readonly revision: number; }[] {
        const attached = this.agents.attached();
        const holders = this.holdersOf(attached);
        return attached.map(agent => {
            const isCurrent = !holders.has(agent.id) && this.lackedBy(agent) === undefined;
            return { id: agent.id, revision: isCurrent ? this.store.revision : agent.revision };
        });
    }

    private holdersOf(attached: readonly AttachedAgent[]): ReadonlySet<string> {
        return new Set(rendezvousRank("copies", attached.map(({ id }) => id)).slice(0, COPIES));
    }

    private pushDocument(agent: AttachedAgent): void {
        if (agent.revision < this.store.revision) {
            this.send(agent, agent.revision, this.store.revision, () => this.store.changesSince(agent.revision));
        }
    }

    private pushSection(agent: AttachedAgent): void {
        const section = this.lackedBy(agent);
        if (section !== undefined) {
            const { revision } = section;
            const message = { kind: "configuration", revision, sections: [section], partial: true } as const;
            this.send(agent, agent.section, revision, () => message);
        }
    }

    private lackedBy(agent: AttachedAgent) {
        const section = this.store.sectionOf(agent.service);
        return section !== undefined && agent.section < section.revision ? section : undefined;
    }

    private send(
        agent: AttachedAgent,
        from: number,
        to: number,
        messageOf: () => MessageOf<"configuration">,
    ): void {
        const last = this.pushes.get(agent.id);
        const at = this.clock.now();
        const isUnderWay = last?.from === from && last.to === to && at - last.at < PUSH_AGAIN_MS;
        if (!isUnderWay && agent.send(messageOf())) {
            this.pushes.set(agent.id, { from, to, at });
        }
    }
}
