import { match } from "ts-pattern";
import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import { Emitter } from "../../common/Emitter.js";
import type { Log } from "../../common/log/Log.js";
import { WireEvent } from "../../common/log/WireEvent.js";
import type { AgentAddress } from "../../common/wire/AgentAddress.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Message } from "../../common/wire/Message.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { AttachedAgent } from "../AttachedAgent.js";
import { EntryEvent } from "../EntryEvent.js";
import type { MemberView } from "../MemberView.js";
import type { AgentChannelEvent } from "./AgentChannelEvent.js";
import type { AgentLink } from "./AgentLink.js";
import { AgentProbes } from "./AgentProbes.js";
import { AgentSession } from "./AgentSession.js";
import type { Dialer } from "./Dialer.js";

/** A heartbeat is due this long after the last message that reported the load to the agent. */
const HEARTBEAT_INTERVAL_MS = 1000;

/** Interval at which the attached agents are checked for due heartbeats and for missed ones. */
const CHECK_INTERVAL_MS = 250;

const MAX_MISSED_HEARTBEATS = 3;

/** An agent must attach within this time. Agents that only discover entries disconnect within a few seconds. */
const ATTACH_TIMEOUT_MS = 10_000;

interface Dependencies {
    readonly clock: Clock;
    readonly log: Log;
    /** Region of this entry; agents of other regions are refused. */
    readonly region: string;
    readonly members: MemberView;
    readonly dial: Dialer;
    /** Number of tasks that wait for a slot of the service; sent in each heartbeat. */
    readonly queued: (service: string) => number;
    readonly revision: () => number;
}

/** Manages the channels of agents: attachment, heartbeats, and detection of lost and restarted agents. */
export class AgentSessions implements AgentLink, Disposable {
    private readonly events = new Emitter<AgentChannelEvent>();
    private readonly sessions = new Map<string, AgentSession>();
    private readonly channels = new Set<Channel>();
    private readonly probes: AgentProbes;
    private readonly registrations = new DisposableStore();
    private cancelCheck: () => void = () => undefined;
    private draining = false;

    public readonly onEvent = this.events.event;

    constructor(private readonly dependencies: Dependencies) {
        this.probes = new AgentProbes(dependencies.clock, dependencies.dial);
        this.probes.onTerminated(session => {
            this.reportLost(session);
        });
        this.registrations.add(dependencies.members.onChange(() => {
            this.sendMembers([...this.channels]);
        }));
        this.scheduleCheck();
    }

    /** Takes ownership of a channel that an agent opened. Agents that only discover entries never attach. */
    public accept(channel: Channel): void {
        this.channels.add(channel);
        const cancelTimeout = this.dependencies.clock.schedule(ATTACH_TIMEOUT_MS, () => {
            this.closeUnattached(channel);
        });
        channel.onClose(reason => {
            cancelTimeout();
            this.channels.delete(channel);
            this.detach(channel, reason);
        });
        channel.onMessage(message => {
            this.receive(channel, message);
        });
        this.sendMembers([channel]);
    }

    public send(agent: string, message: Message): boolean {
        return this.sessions.get(agent)?.send(message) ?? false;
    }

    public mayRun(agent: string): boolean {
        const session = this.sessions.get(agent);
        return session === undefined ? this.probes.isProbing(agent) : !session.draining;
    }

    /** Addresses of the agents of a service that are attached and not draining. */
    public attached(service: string): readonly AgentAddress[] {
        return [...this.sessions.values()]
            .filter(session => session.service === service && !session.draining)
            .map(session => ({ address: session.peer.address, incarnation: session.peer.incarnation }));
    }

    /** Every attached agent, for the distribution of the configuration. */
    public all(): readonly AttachedAgent[] {
        return [...this.sessions.values()].map(session => ({
            id: session.peer.id,
            service: session.service,
            revision: session.revision,
            section: session.section,
            send: message => session.send(message),
        }));
    }

    public counts(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const session of this.sessions.values()) {
            counts[session.service] = (counts[session.service] ?? 0) + 1;
        }
        return counts;
    }

    /** Refuses new agents. Attached ones stay until their tasks have ended, and may reattach after a disconnect. */
    public drain(): void {
        this.draining = true;
    }

    /** Closes every channel, after the entry has renewed its incarnation or has drained. */
    public closeAll(reason: string): void {
        for (const channel of [...this.channels]) {
            channel.close(reason);
        }
    }

    public dispose(): void {
        this.cancelCheck();
        this.registrations.dispose();
        this.events.dispose();
        for (const channel of [...this.channels]) {
            channel.dispose();
        }
        this.probes.dispose();
    }

    private sendMembers(channels: readonly Channel[]): void {
        const rows = this.dependencies.members.live();
        for (const channel of channels) {
            channel.send({ kind: "members", rows });
        }
    }

    private receive(channel: Channel, message: Message): void {
        if (message.kind === "attach") {
            this.attach(channel, message);
            return;
        }
        const session = this.sessions.get(channel.peer.incarnation);
        if (session?.channel !== channel) {
            return;
        }
        session.lastReceivedAt = this.dependencies.clock.now();
        this.dispatch(session, message);
    }

    private dispatch(session: AgentSession, message: Message): void {
        const { service } = session;
        const agent = session.peer.incarnation;
        match(message)
            .with({ kind: "credit" }, ({ count }) => {
                this.events.fire({ kind: "credit", service, agent, count });
            })
            .with({ kind: "reclaim" }, ({ count }) => {
                this.events.fire({ kind: "reclaim", service, agent, count });
            })
            .with({ kind: "outcome" }, report => {
                this.events.fire({ kind: "outcome", service, agent, report });
            })
            .with({ kind: "revoked" }, report => {
                this.events.fire({ kind: "revoked", service, agent, report });
            })
            .with({ kind: "heartbeat" }, ({ revision, section }) => {
                session.revision = revision;
                session.section = section ?? 0;
            })
            .with({ kind: "configuration" }, { kind: "pull" }, state => {
                const reply = (answer: Message) => session.channel.send(answer);
                this.events.fire({ kind: "state", service, agent, message: state, reply });
            })
            .with({ kind: "fenced" }, ({ issuer }) => {
                this.events.fire({ kind: "fenced", service, agent, issuer });
            })
            .with({ kind: "drain" }, ({ reason }) => {
                session.draining = true;
                this.dependencies.log.write(EntryEvent.AgentDraining, { agent: session.peer.id, reason });
                this.events.fire({ kind: "draining", service, agent });
            })
            .otherwise(() => undefined);
    }

    private attach(channel: Channel, message: MessageOf<"attach">): void {
        const refusal = this.refuseAttach(channel);
        if (refusal !== undefined) {
            this.dependencies.log.write(EntryEvent.AttachRefused, { agent: channel.peer.id, reason: refusal });
            channel.send({ kind: "attached", accepted: false, reason: refusal });
            return;
        }
        const { incarnation } = channel.peer;
        const older = this.sessions.get(incarnation);
        if (older?.channel === channel) {
            return;
        }
        older?.channel.close("replaced by a newer attachment");
        this.probes.stop(incarnation);
        const session = new AgentSession(channel, message, this.dependencies.clock);
        this.sessions.set(incarnation, session);
        this.dependencies.log.write(EntryEvent.AgentAttached, { agent: channel.peer.id, service: message.service });
        channel.send({ kind: "attached", accepted: true });
        this.events.fire({ kind: "attached", service: session.service, agent: incarnation, profile: session.profile });
    }

    private refuseAttach({ peer }: Channel): string | undefined {
        if (peer.region !== this.dependencies.region) {
            return `the agent is in region ${peer.region}, this entry is in region ${this.dependencies.region}`;
        }
        return this.draining && !this.probes.isProbing(peer.incarnation) ? "draining" : undefined;
    }

    private closeUnattached(channel: Channel): void {
        if (this.sessions.get(channel.peer.incarnation)?.channel !== channel) {
            this.dependencies.log.write(EntryEvent.AttachTimedOut, {
                agent: channel.peer.id,
                limitMs: ATTACH_TIMEOUT_MS,
            });
            channel.close(`did not attach within ${ATTACH_TIMEOUT_MS} ms`);
        }
    }

    private detach(channel: Channel, reason: string): void {
        const session = this.sessions.get(channel.peer.incarnation);
        if (session?.channel !== channel) {
            return;
        }
        this.sessions.delete(session.peer.incarnation);
        this.dependencies.log.write(EntryEvent.AgentDetached, { agent: session.peer.id, reason });
        this.probes.start(session);
        this.events.fire({ kind: "detached", service: session.service, agent: session.peer.incarnation });
    }

    private reportLost(session: AgentSession): void {
        const agent = session.peer.incarnation;
        this.dependencies.log.write(EntryEvent.AgentLost, { agent: session.peer.id, incarnation: agent });
        this.events.fire({ kind: "lost", service: session.service, agent });
    }

    private scheduleCheck(): void {
        this.cancelCheck = this.dependencies.clock.schedule(CHECK_INTERVAL_MS, () => {
            this.scheduleCheck();
            this.checkSessions();
        });
    }

    private checkSessions(): void {
        const oldest = this.dependencies.clock.now() - MAX_MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_MS;
        const revision = this.dependencies.revision();
        for (const session of [...this.sessions.values()]) {
            if (session.lastReceivedAt < oldest) {
                this.dependencies.log.write(WireEvent.HeartbeatLost, { peer: session.peer.id });
                session.channel.dispose();
                continue;
            }
            session.sendHeartbeat(this.dependencies.queued(session.service), revision, HEARTBEAT_INTERVAL_MS);
        }
    }
}
