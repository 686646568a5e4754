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
import type { AgentLink } from "./AgentLink.js";
import type { AgentNotice } from "./AgentNotice.js";
import { AgentProbes } from "./AgentProbes.js";
import { AgentSession } from "./AgentSession.js";
import type { Dialer } from "./Dialer.js";

/** Longest time without a message that tells the load, give or take one look. */
const HEARTBEAT_MS = 1000;

/** Time between two looks at the attached agents. */
const LOOK_MS = 250;

const MISSED_HEARTBEATS = 3;

/** Time for an agent to attach; agents that only look for entries close their connections within a few seconds. */
const ATTACH_LIMIT_MS = 10_000;

interface Parts {
    readonly clock: Clock;
    readonly log: Log;
    /** Region of this entry; agents of other regions are refused. */
    readonly region: string;
    readonly members: MemberView;
    readonly dial: Dialer;
    /** Tasks waiting for a slot of the service, reported with each heartbeat. */
    readonly queued: (service: string) => number;
    readonly revision: () => number;
}

/** Channels of the attached agents: attach, heartbeats, and detection of lost and restarted agents. */
export class Agents implements AgentLink, Disposable {
    private readonly events = new Emitter<AgentNotice>();
    private readonly sessions = new Map<string, AgentSession>();
    private readonly channels = new Set<Channel>();
    private readonly probes: AgentProbes;
    private readonly registrations = new DisposableStore();
    private cancelHeartbeat: () => void = () => undefined;
    private draining = false;

    public readonly onEvent = this.events.event;

    constructor(private readonly parts: Parts) {
        this.probes = new AgentProbes(parts.clock, parts.dial);
        this.probes.onGone(session => {
            this.reportLost(session);
        });
        this.registrations.add(parts.members.onChange(() => {
            this.sendMembers([...this.channels]);
        }));
        this.scheduleHeartbeat();
    }

    /** Takes over a channel from an agent; agents that only look for entries never attach. */
    public accept(channel: Channel): void {
        this.channels.add(channel);
        const cancelLimit = this.parts.clock.schedule(ATTACH_LIMIT_MS, () => {
            this.closeUnattached(channel);
        });
        channel.onClose(reason => {
            cancelLimit();
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
        return session === undefined ? this.probes.has(agent) : !session.draining;
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

    /** Refuses new agents; attached ones stay until their tasks have ended, and may return after a lost connection. */
    public drain(): void {
        this.draining = true;
    }

    /** Closes every channel, after a renewal of the incarnation or at the end. */
    public closeAll(reason: string): void {
        for (const channel of [...this.channels]) {
            channel.close(reason);
        }
    }

    public dispose(): void {
        this.cancelHeartbeat();
        this.registrations.dispose();
        this.events.dispose();
        for (const channel of [...this.channels]) {
            channel.dispose();
        }
        this.probes.dispose();
    }

    private sendMembers(channels: readonly Channel[]): void {
        const rows = this.parts.members.live();
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
        session.heardAt = this.parts.clock.now();
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
                this.parts.log.write(EntryEvent.AgentDraining, { agent: session.peer.id, reason });
                this.events.fire({ kind: "draining", service, agent });
            })
            .otherwise(() => undefined);
    }

    private attach(channel: Channel, message: MessageOf<"attach">): void {
        const refusal = this.refuseAttach(channel);
        if (refusal !== undefined) {
            this.parts.log.write(EntryEvent.AttachRefused, { agent: channel.peer.id, reason: refusal });
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
        const session = new AgentSession(channel, message, this.parts.clock);
        this.sessions.set(incarnation, session);
        this.parts.log.write(EntryEvent.AgentAttached, { agent: channel.peer.id, service: message.service });
        channel.send({ kind: "attached", accepted: true });
        this.events.fire({ kind: "attached", service: session.service, agent: incarnation, profile: session.profile });
    }

    private refuseAttach({ peer }: Channel): string | undefined {
        if (peer.region !== this.parts.region) {
            return `the agent is in region ${peer.region}, this entry is in region ${this.parts.region}`;
        }
        return this.draining && !this.probes.has(peer.incarnation) ? "draining" : undefined;
    }

    private closeUnattached(channel: Channel): void {
        if (this.sessions.get(channel.peer.incarnation)?.channel !== channel) {
            this.parts.log.write(EntryEvent.AgentIdle, { agent: channel.peer.id, limitMs: ATTACH_LIMIT_MS });
            channel.close("not attached in time");
        }
    }

    private detach(channel: Channel, reason: string): void {
        const session = this.sessions.get(channel.peer.incarnation);
        if (session?.channel !== channel) {
            return;
        }
        this.sessions.delete(session.peer.incarnation);
        this.parts.log.write(EntryEvent.AgentDetached, { agent: session.peer.id, reason });
        this.probes.start(session);
        this.events.fire({ kind: "detached", service: session.service, agent: session.peer.incarnation });
    }

    private reportLost(session: AgentSession): void {
        const agent = session.peer.incarnation;
        this.parts.log.write(EntryEvent.AgentLost, { agent: session.peer.id, incarnation: agent });
        this.events.fire({ kind: "lost", service: session.service, agent });
    }

    private scheduleHeartbeat(): void {
        this.cancelHeartbeat = this.parts.clock.schedule(LOOK_MS, () => {
            this.scheduleHeartbeat();
            this.beat();
        });
    }

    private beat(): void {
        const oldest = this.parts.clock.now() - MISSED_HEARTBEATS * HEARTBEAT_MS;
        const revision = this.parts.revision();
        for (const session of [...this.sessions.values()]) {
            if (session.heardAt < oldest) {
                this.parts.log.write(WireEvent.HeartbeatLost, { peer: session.peer.id });
                session.channel.dispose();
                continue;
            }
            session.beat(this.parts.queued(session.service), revision, HEARTBEAT_MS);
        }
    }
}
