import { match, P } from "ts-pattern";
import { newIncarnation } from "../common/newIncarnation.js";
import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";
import type { AgentSettings } from "../common/settings/AgentSettings.js";
import type { Channel } from "../common/wire/Channel.js";
import { dial } from "../common/wire/dial.js";
import type { Identity } from "../common/wire/Identity.js";
import { Listener } from "../common/wire/Listener.js";
import type { Message } from "../common/wire/Message.js";
import { AgentEvent } from "./AgentEvent.js";
import { AnnouncementServer } from "./AnnouncementServer.js";
import { AttemptRecords } from "./AttemptRecords.js";
import { ConfigurationReplica } from "./ConfigurationReplica.js";
import { EntryAttachments } from "./EntryAttachments.js";
import { ServedEndpoint } from "./ServedEndpoint.js";
import { SlotCredits } from "./SlotCredits.js";
import { TaskRunner } from "./TaskRunner.js";

/** Maximum number of connections that entries may open here to settle tickets. */
const MAX_INBOUND_CONNECTIONS = 64;

const SWEEP_MS = 1000;
const DRAIN_POLL_MS = 20;

/** Maximum wait for undelivered outcomes to reach their issuers after the last task ended, in milliseconds. */
const DELIVERY_WAIT_MS = 3000;

/**
 * Process on the endpoint's VM: starts each attempt of a task at most once, keeps records of the attempts and reports
 * their outcomes.
 */
export class Agent implements RunningRole {
    public readonly incarnation = newIncarnation();
    private readonly records: AttemptRecords;
    private readonly slots: SlotCredits<Channel>;
    private readonly endpoint: ServedEndpoint;
    private readonly configuration = new ConfigurationReplica();
    private readonly tasks: TaskRunner;
    private readonly attachments: EntryAttachments;
    private readonly inbound = new Set<Channel>();
    private listener: Listener | undefined;
    private announcement: AnnouncementServer | undefined;
    private draining = false;
    private cancelSweep: () => void = () => undefined;

    private constructor(
        private readonly settings: AgentSettings,
        private readonly runtime: Runtime,
    ) {
        const { clock, log } = runtime;
        this.records = new AttemptRecords(clock, settings.recordBytes, settings.recordRetentionMs);
        this.slots = new SlotCredits((channel, message) => channel.send(message));
        this.endpoint = new ServedEndpoint(runtime);
        this.tasks = new TaskRunner(this.incarnation, this.records, this.slots, () => this.endpoint.client, log);
        const { id: agentId, region, rack, entries: seeds, secret } = settings;
        const connect = (address: string) => dial(address, this.identity, secret, log, this.runtime.metrics);
        const options = { agentId, region, rack, seeds };
        this.attachments = new EntryAttachments(options, connect, this.slots, this.tasks, this.configuration, runtime);
    }

    public static async start(settings: AgentSettings, runtime: Runtime): Promise<Agent> {
        const log = runtime.log.child({ agent: settings.id });
        const agent = new Agent(settings, { ...runtime, log });
        await agent.listen();
        return agent;
    }

    /** Port of the wire listener. */
    public get port(): number {
        return this.listener?.port ?? 0;
    }

    /** Port of the local HTTP interface. */
    public get announcePort(): number {
        return this.announcement?.port ?? 0;
    }

    public async drain(limitMs: number): Promise<readonly string[]> {
        const { clock, log } = this.runtime;
        const end = clock.now() + limitMs;
        this.draining = true;
        log.write(AgentEvent.DrainBegun, { running: this.tasks.running, limitMs });
        this.endpoint.withdraw("agent draining");
        await this.waitUntil(end, () => this.tasks.running === 0);
        const deliveryEnd = Math.min(end, clock.now() + DELIVERY_WAIT_MS);
        await this.waitUntil(
            deliveryEnd,
            () => this.attachments.count === 0 && this.records.undelivered().length === 0,
        );
        const left = this.describeUnfinished();
        log.write(AgentEvent.DrainEnded, { left: left.length });
        return left;
    }

    public async dispose(): Promise<void> {
        this.draining = true;
        this.cancelSweep();
        this.attachments.dispose();
        for (const channel of this.inbound) {
            channel.dispose();
        }
        this.listener?.dispose();
        await this.announcement?.dispose();
        await this.endpoint.dispose();
    }

    private get identity(): Identity {
        const { id, region, failureDomain, listen, advertise } = this.settings;
        const address = advertise ?? `${listen.host}:${this.port}`;
        return { role: "agent", id, incarnation: this.incarnation, region, failureDomain, address };
    }

    private async listen(): Promise<void> {
        const { settings, runtime: { log, metrics } } = this;
        const { listen, announce, secret } = settings;
        const maxConnections = MAX_INBOUND_CONNECTIONS;
        this.listener = await Listener.listen({
            ...listen,
            maxConnections,
            identity: () => this.identity,
            secret,
            log,
            metrics,
        });
        this.listener.onChannel(channel => {
            this.inbound.add(channel);
            channel.onClose(() => this.inbound.delete(channel));
            this.serve(channel);
            this.tasks.sendUndelivered(channel);
        });
        this.attachments.onChannel(channel => {
            this.serve(channel);
        });
        this.subscribe();
        this.announcement = await AnnouncementServer.listen({
            ...announce,
            endpoint: this.endpoint,
            draining: () => this.draining,
            log,
        });
        this.sweep();
        log.write(AgentEvent.Started, { port: this.port, announcePort: this.announcePort, id: this.incarnation });
    }

    private subscribe(): void {
        this.endpoint.onAnnounced(declaration => {
            this.slots.resize(Math.min(declaration.slots, declaration.connections));
            this.attachments.serve(declaration);
        });
        this.endpoint.onWithdrawn(reason => {
            this.slots.resize(0);
            this.attachments.withdraw(reason);
        });
        this.configuration.onChange(revision => {
            this.runtime.log.write(AgentEvent.ConfigurationAdopted, { revision });
            this.attachments.check();
        });
    }

    private serve(channel: Channel): void {
        this.tasks.addChannel(channel);
        channel.onMessage(message => {
            this.receive(channel, message);
        });
    }

    private receive(channel: Channel, message: Message): void {
        match(message)
            .with({ kind: "start" }, start => {
                this.tasks.start(channel, start);
            })
            .with({ kind: "cancel" }, cancel => {
                this.tasks.cancel(cancel);
            })
            .with({ kind: "revoke" }, revoke => {
                this.tasks.revoke(channel, revoke);
            })
            .with({ kind: "settle" }, settle => {
                this.tasks.settle(channel, settle);
            })
            .with({ kind: "release" }, ({ count }) => {
                this.slots.release(channel, count);
            })
            .with({ kind: "heartbeat" }, ({ load }) => {
                this.slots.reportQueue(channel, load);
            })
            .with({ kind: "members" }, ({ rows }) => {
                this.attachments.updateMembers(rows);
            })
            .with({ kind: "pull" }, ({ since }) => {
                channel.send(this.configuration.since(since));
            })
            .with({ kind: "configuration" }, configuration => {
                this.configuration.adopt(configuration);
            })
            .with({ kind: P.union("alive", "attached", "goodbye") }, () => undefined)
            .otherwise(({ kind }) => {
                this.runtime.log.write(AgentEvent.ProtocolViolation, { kind, peer: channel.peer.id });
            });
    }

    private sweep(): void {
        this.records.sweep();
        this.cancelSweep = this.runtime.clock.schedule(SWEEP_MS, () => {
            this.sweep();
        });
    }

    private async waitUntil(end: number, done: () => boolean): Promise<void> {
        while (!done() && this.runtime.clock.now() < end) {
            await new Promise<void>(resolve => {
                this.runtime.clock.schedule(DRAIN_POLL_MS, resolve);
            });
            this.attachments.closeRetired();
        }
    }

    private describeUnfinished(): string[] {
        const running = this.tasks.runningKeys.map(key => ({ key, text: "is still running" }));
        const undelivered = this.records.undelivered().map(({ key }) => ({
            key,
            text: "ended, but its outcome was not reported to its issuer",
        }));
        return [...running, ...undelivered].map(({ key, text }) => {
            return `task ${key.task} attempt ${key.attempt} of ticket ${key.issuer}/${key.sequence} ${text}`;
        });
    }
}
