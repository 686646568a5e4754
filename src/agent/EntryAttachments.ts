import { Emitter } from "../common/Emitter.js";
import type { Runtime } from "../common/Runtime.js";
import { shardOf } from "../common/shardOf.js";
import type { Channel } from "../common/wire/Channel.js";
import type { Member } from "../common/wire/Member.js";
import { AgentEvent } from "./AgentEvent.js";
import { Attachment } from "./Attachment.js";
import { awaitAttached } from "./awaitAttached.js";
import { awaitMembers } from "./awaitMembers.js";
import type { ConfigurationReplica } from "./ConfigurationReplica.js";
import type { EndpointDeclaration } from "./EndpointDeclaration.js";
import { EntryDirectory } from "./EntryDirectory.js";
import type { SlotCredits } from "./SlotCredits.js";
import type { TaskRunner } from "./TaskRunner.js";
import { TimedChannel } from "./TimedChannel.js";

const MAX_CONNECTIONS = 3;

/** Maximum interval between two checks of the home entry, in milliseconds; jittered down to half of it. */
const CHECK_MS = 400;

/** Maximum wait for the credits of a retiring attachment to be released, in milliseconds. */
const RELEASE_WAIT_MS = 2000;

/**
 * Time within which a replaced home entry has reported in a heartbeat whether tasks still wait there, in milliseconds.
 */
const QUEUE_REPORT_MS = 1500;

/** An attachment that lasts this long, in milliseconds, resets the entry's back-off. */
const STABLE_MS = 10_000;

interface AttachmentOptions {
    readonly agentId: string;
    readonly region: string;
    readonly rack: string;
    readonly seeds: readonly string[];
}

/**
 * Keeps this agent attached to its home entry while an endpoint is announced: the entry with the highest rendezvous
 * rank for the shard of the agent.
 */
export class EntryAttachments {
    private readonly attachments = new Set<Attachment>();
    private readonly directory: EntryDirectory;
    private readonly channels = new Emitter<Channel>();
    private endpoint: EndpointDeclaration | undefined;
    private attaching = false;
    private disposed = false;
    private cancelCheck: () => void = () => undefined;

    /** Fires with each channel that this agent has opened. */
    public readonly onChannel = this.channels.event;

    constructor(
        private readonly options: AttachmentOptions,
        private readonly connect: (address: string) => Promise<Channel>,
        private readonly slots: SlotCredits<Channel>,
        private readonly tasks: TaskRunner,
        private readonly configuration: ConfigurationReplica,
        private readonly runtime: Runtime,
    ) {
        this.directory = new EntryDirectory(options.region, runtime.clock, runtime.random);
    }

    /** Number of open connections to entries. */
    public get count(): number {
        return this.attachments.size;
    }

    /** Keeps the agent attached on behalf of `endpoint` from now on. */
    public serve(endpoint: EndpointDeclaration): void {
        this.endpoint = endpoint;
        this.check();
    }

    /**
     * Notifies attached entries that no more starts are accepted; each connection closes when its tasks are reported.
     */
    public withdraw(reason: string): void {
        this.endpoint = undefined;
        for (const attachment of this.attachments) {
            if (attachment.isAttached) {
                attachment.channel.send({ kind: "drain", reason });
                attachment.isWithdrawn = true;
                this.retire(attachment);
            }
            else {
                attachment.channel.close(reason);
            }
        }
        this.check();
    }

    /** Handles member rows that an entry has sent. */
    public updateMembers(rows: readonly Member[]): void {
        this.directory.update(rows);
        this.check();
    }

    /** Closes connections that have nothing left to report, and attaches to the home entry if it has changed. */
    public check(): void {
        this.cancelCheck();
        if (this.disposed) {
            return;
        }
        this.closeRetired();
        const { clock, random } = this.runtime;
        this.cancelCheck = clock.schedule(CHECK_MS * (1 + random.next()) / 2, () => {
            this.check();
        });
        if (!this.attaching && this.endpoint !== undefined) {
            this.attaching = true;
            void this.attachToHome(this.endpoint).finally(() => {
                this.attaching = false;
            });
        }
    }

    public dispose(): void {
        this.disposed = true;
        this.cancelCheck();
        for (const attachment of this.attachments) {
            attachment.channel.dispose();
        }
        this.channels.dispose();
    }

    private async attachToHome(endpoint: EndpointDeclaration): Promise<void> {
        const { agentId, region } = this.options;
        const shard = shardOf(agentId, this.configuration.shardsOf(endpoint.service));
        const home = this.directory.bestFor(`${region}/${endpoint.service}/${shard}`);
        if (home === undefined) {
            await this.connectToSeed();
            return;
        }
        const known = this.find(home.id, home.incarnation);
        if (known?.state === "attached") {
            this.closeUnused();
            return;
        }
        if (known?.state === "retiring" && !known.isWithdrawn) {
            this.slots.restore(known.channel);
            this.handleAttached(known);
            return;
        }
        if (known?.state !== "retiring") {
            await this.attach(home.id, home.address, known, endpoint);
        }
    }

    private async attach(
        id: string,
        address: string,
        known: Attachment | undefined,
        endpoint: EndpointDeclaration,
    ): Promise<void> {
        const { log, clock } = this.runtime;
        log.write(AgentEvent.AttachBegun, { entry: id, address });
        const attachment = known ?? await this.open(address, id);
        if (attachment === undefined) {
            return;
        }
        const { channel } = attachment;
        if (channel.peer.id !== id) {
            this.directory.recordFailure(id);
            log.write(AgentEvent.AttachFailed, {
                entry: id,
                reason: `another entry, ${channel.peer.id}, answers at ${address}`,
            });
            return;
        }
        attachment.setState("attaching");
        const { service, slots, connections } = endpoint;
        const response = awaitAttached(channel, clock);
        channel.send({ kind: "attach", service, rack: this.options.rack, slots, connections });
        const reason = await response;
        if (reason === undefined && channel.open && this.endpoint === endpoint) {
            this.handleAttached(attachment);
            return;
        }
        this.directory.recordFailure(id);
        log.write(AgentEvent.AttachFailed, { entry: id, reason: reason ?? "endpoint withdrawn meanwhile" });
        channel.close("not attached");
    }

    private handleAttached(attachment: Attachment): void {
        const isNew = attachment.state !== "retiring";
        attachment.setState("attached");
        this.directory.add({ ...attachment.channel.peer });
        this.runtime.log.write(AgentEvent.Attached, { entry: attachment.id });
        if (isNew) {
            this.slots.add(attachment.channel);
        }
        this.tasks.sendUndelivered(attachment.channel);
        for (const other of this.attachments) {
            if (other !== attachment && other.state === "attached") {
                this.runtime.log.write(AgentEvent.HomeChanged, { from: other.id, to: attachment.id });
                this.retire(other);
            }
        }
    }

    private async connectToSeed(): Promise<void> {
        const seeds = this.options.seeds.filter(seed => !this.directory.isBackedOff(seed));
        const seed = seeds[Math.floor(this.runtime.random.next() * seeds.length)];
        if (seed === undefined) {
            return;
        }
        const attachment = await this.open(seed, seed);
        if (attachment === undefined) {
            this.runtime.log.write(AgentEvent.SeedUnreachable, { seed });
            return;
        }
        this.directory.recordSuccess(seed);
        const { channel } = attachment;
        await awaitMembers(channel, this.runtime.clock);
        if (!this.directory.hasUsable) {
            this.directory.add({ ...channel.peer });
        }
    }

    private async open(address: string, id: string): Promise<Attachment | undefined> {
        const { clock, log } = this.runtime;
        this.closeSurplus();
        let channel: TimedChannel;
        try {
            channel = new TimedChannel(await this.connect(address), clock);
        }
        catch (error) {
            this.directory.recordFailure(id);
            log.write(AgentEvent.AttachFailed, { entry: id, address, reason: String(error) });
            return undefined;
        }
        if (this.disposed) {
            channel.dispose();
            return undefined;
        }
        const report = () => ({
            load: this.tasks.runningOf(channel),
            revision: this.configuration.revision,
            section: this.configuration.sectionRevisionOf(this.endpoint?.service),
        });
        const attachment = new Attachment(channel, report, clock, log);
        this.attachments.add(attachment);
        channel.onClose(reason => {
            this.handleClosed(attachment, reason);
        });
        this.channels.fire(channel);
        return attachment;
    }

    private handleClosed(attachment: Attachment, reason: string): void {
        this.attachments.delete(attachment);
        this.slots.remove(attachment.channel);
        this.runtime.log.write(AgentEvent.Detached, { entry: attachment.id, reason, state: attachment.state });
        if (attachment.state === "attached") {
            if (attachment.age > STABLE_MS) {
                this.directory.recordSuccess(attachment.id);
            }
            this.directory.recordFailure(attachment.id);
        }
        this.check();
    }

    private retire(attachment: Attachment): void {
        if (attachment.state === "attached") {
            attachment.setState("retiring");
            this.slots.retire(attachment.channel);
        }
    }

    /** Closes retiring attachments whose tasks are reported and whose entry has none left in its queue. */
    public closeRetired(): void {
        for (const attachment of this.attachments) {
            const { channel } = attachment;
            const released = this.slots.creditsOf(channel) === 0 || attachment.age > RELEASE_WAIT_MS;
            const awaited = attachment.age < QUEUE_REPORT_MS || this.slots.queuedOf(channel) > 0;
            const needed = this.tasks.runningOf(channel) > 0 || !attachment.isWithdrawn && awaited;
            if (attachment.state === "retiring" && released && !needed) {
                channel.close("retired");
            }
        }
    }

    private closeUnused(): void {
        for (const attachment of this.attachments) {
            if (attachment.state === "connected") {
                attachment.channel.close("attached elsewhere");
            }
        }
    }

    /** Closes connections, unused ones first and then the oldest, until one more may be opened. */
    private closeSurplus(): void {
        const ordered = [...this.attachments].sort((a, b) => Number(a.isAttached) - Number(b.isAttached));
        for (const attachment of ordered.slice(0, Math.max(0, ordered.length - MAX_CONNECTIONS + 1))) {
            attachment.channel.close("too many connections");
        }
    }

    private find(id: string, incarnation: string): Attachment | undefined {
        return [...this.attachments].find(({ channel }) =>
            channel.peer.id === id && channel.peer.incarnation === incarnation
        );
    }
}
