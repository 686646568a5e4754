import type { Clock } from "../../common/Clock.js";
import type { ConfigurationStore } from "../../common/configuration/ConfigurationStore.js";
import { rendezvousRank } from "../../common/rendezvousRank.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { AttachedAgent } from "../AttachedAgent.js";
import type { AttachedAgents } from "../AttachedAgents.js";

/**
 * Number of attached agents that get the whole document. The others get only the section of their service: with 60
 * agents, pushing each of 53,000 changes a day to all of them would take 12 KB/s of each entry.
 */
const REPLICA_COUNT = 2;

/** A push is repeated after this time if the agent still reports the old revision. */
const PUSH_RETRY_MS = 3000;

/** Last push to an agent: the agent's revision before it, the pushed revision, and the time. */
interface Push {
    readonly from: number;
    readonly to: number;
    readonly at: number;
}

/** Pushes to each attached agent the parts of the configuration that it is missing according to its last heartbeat. */
export class AgentPusher {
    private readonly pushes = new Map<string, Push>();

    constructor(
        private readonly store: ConfigurationStore,
        private readonly agents: AttachedAgents,
        private readonly clock: Clock,
    ) {}

    /** Pushes what each agent is missing, unless that push is already in flight. */
    public push(): void {
        const attached = this.agents.attached();
        const replicas = this.replicasAmong(attached);
        const ids = new Set(attached.map(({ id }) => id));
        for (const id of [...this.pushes.keys()].filter(known => !ids.has(known))) {
            this.pushes.delete(id);
        }
        for (const agent of attached) {
            if (replicas.has(agent.id)) {
                this.pushDocument(agent);
            }
            else {
                this.pushSection(agent);
            }
        }
    }

    /** Revision up to which each agent has the sections that it uses. */
    public revisions(): readonly { readonly id: string; readonly revision: number; }[] {
        const attached = this.agents.attached();
        const replicas = this.replicasAmong(attached);
        return attached.map(agent => {
            const isCurrent = !replicas.has(agent.id) && this.missingSection(agent) === undefined;
            return { id: agent.id, revision: isCurrent ? this.store.revision : agent.revision };
        });
    }

    private replicasAmong(attached: readonly AttachedAgent[]): ReadonlySet<string> {
        return new Set(rendezvousRank("copies", attached.map(({ id }) => id)).slice(0, REPLICA_COUNT));
    }

    private pushDocument(agent: AttachedAgent): void {
        if (agent.revision < this.store.revision) {
            this.send(agent, agent.revision, this.store.revision, () => this.store.changesSince(agent.revision));
        }
    }

    private pushSection(agent: AttachedAgent): void {
        const section = this.missingSection(agent);
        if (section !== undefined) {
            const { revision } = section;
            const message = { kind: "configuration", revision, sections: [section], partial: true } as const;
            this.send(agent, agent.section, revision, () => message);
        }
    }

    private missingSection(agent: AttachedAgent) {
        const section = this.store.sectionOf(agent.service);
        return section !== undefined && agent.section < section.revision ? section : undefined;
    }

    private send(
        agent: AttachedAgent,
        from: number,
        to: number,
        createMessage: () => MessageOf<"configuration">,
    ): void {
        const last = this.pushes.get(agent.id);
        const at = this.clock.now();
        const isInFlight = last?.from === from && last.to === to && at - last.at < PUSH_RETRY_MS;
        if (!isInFlight && agent.send(createMessage())) {
            this.pushes.set(agent.id, { from, to, at });
        }
    }
}
