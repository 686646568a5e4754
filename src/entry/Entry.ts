import { Emitter } from "../common/Emitter.js";
import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";
import type { EntrySettings } from "../common/settings/EntrySettings.js";
import { TicketCodec } from "../common/ticket/TicketCodec.js";
import type { Channel } from "../common/wire/Channel.js";
import { dial } from "../common/wire/dial.js";
import type { Identity } from "../common/wire/Identity.js";
import { Listener } from "../common/wire/Listener.js";
import { Role } from "../common/wire/Role.js";
import type { ClusterServices } from "./ClusterServices.js";
import { AgentSessions } from "./controllers/AgentSessions.js";
import { ChannelPool } from "./controllers/ChannelPool.js";
import { EjectionLog } from "./controllers/EjectionLog.js";
import { IssuerLiveness } from "./controllers/IssuerLiveness.js";
import { IssuerRelay } from "./controllers/IssuerRelay.js";
import { JobHistories } from "./controllers/JobHistories.js";
import { Jobs } from "./controllers/Jobs.js";
import { Settlement } from "./controllers/Settlement.js";
import { TicketIssuer } from "./controllers/TicketIssuer.js";
import { createClusterServices } from "./createClusterServices.js";
import { DisposableClock } from "./DisposableClock.js";
import { EntryEvent } from "./EntryEvent.js";
import { EntryIdentity } from "./EntryIdentity.js";
import { TokenIndex } from "./filters/TokenIndex.js";
import { HttpServer } from "./HttpServer.js";
import { createScheduler } from "./policy/createScheduler.js";
import { reportGauges } from "./reportGauges.js";
import { createApp } from "./routes/createApp.js";
import { jobRoutes } from "./routes/jobRoutes.js";
import { operatorRoutes } from "./routes/operatorRoutes.js";
import { ticketRoutes } from "./routes/ticketRoutes.js";

/** Interval at which a drain checks whether the open jobs have ended. */
const DRAIN_POLL_MS = 20;

interface Sockets {
    readonly listener: Listener;
    readonly http: HttpServer;
}

/** Entry process: accepts jobs from callers and places their tasks on agents. */
export class Entry implements RunningRole {
    private readonly cluster: ClusterServices;
    private readonly tokens: TokenIndex;
    private readonly histories: JobHistories;
    private readonly agents: AgentSessions;
    private readonly tickets: TicketIssuer;
    private readonly ejectionLog: EjectionLog;
    private readonly channelPool: ChannelPool;
    private readonly settlement: Settlement;
    private readonly jobs: Jobs;
    private readonly relay: IssuerRelay;
    private sockets: Sockets | undefined;
    private draining = false;
    private drainResult: Promise<readonly string[]> | undefined;
    private readonly drains = new Emitter<readonly string[]>();

    /** Fires with one line per unfinished job when a drain has ended, including a drain requested over HTTP. */
    public readonly onDrained = this.drains.event;

    private readonly runtime: Runtime;
    private readonly clock: DisposableClock;

    private constructor(
        private readonly settings: EntrySettings,
        outerRuntime: Runtime,
        private readonly ownIdentity: EntryIdentity,
    ) {
        this.clock = new DisposableClock(outerRuntime.clock);
        const runtime = { ...outerRuntime, clock: this.clock };
        this.runtime = runtime;
        const { clock, log, random, metrics } = runtime;
        this.tokens = new TokenIndex(settings.tokens);
        const attachedAgents = { attached: () => this.agents.all() };
        this.cluster = createClusterServices(settings, runtime, ownIdentity, attachedAgents, this.tokens);
        const { peers, members, configuration } = this.cluster;
        const dialer = (address: string) => dial(address, ownIdentity.current, settings.secret, log, metrics);
        const codec = new TicketCodec(settings.secret);
        this.histories = new JobHistories(settings.id, log);
        this.ejectionLog = new EjectionLog(clock, log);
        this.channelPool = new ChannelPool(clock, dialer);
        const acquire = (address: string) => this.channelPool.acquire(address);
        this.settlement = new Settlement({ clock, dial: acquire, histories: this.histories });
        this.agents = new AgentSessions({
            clock,
            log,
            region: settings.region,
            members,
            dial: dialer,
            queued: service => this.jobs.queued(service),
            revision: () => configuration.revision,
        });
        this.tickets = new TicketIssuer({
            clock,
            log,
            random,
            identity: ownIdentity,
            members,
            peers,
            configuration,
            codec,
            attached: service => this.agents.attached(service),
        });
        this.jobs = new Jobs({
            clock,
            identity: ownIdentity,
            configuration,
            agents: this.agents,
            tickets: this.tickets,
            histories: this.histories,
            collectRecords: ticket => this.settlement.collectRecords(ticket),
            createScheduler: () => {
                const scheduler = createScheduler(settings.scheduler, random);
                this.ejectionLog.watch(scheduler);
                return scheduler;
            },
        });
        const { jobs, settlement, histories } = this;
        this.relay = new IssuerRelay({
            clock,
            identity: ownIdentity,
            peers,
            codec,
            jobs,
            settlement,
            histories,
            issuers: new IssuerLiveness(members),
        });
        this.handleAgentEvents();
    }

    public static async start(settings: EntrySettings, runtime: Runtime): Promise<Entry> {
        const own: { identity?: EntryIdentity; } = {};
        const listener = await Listener.listen({
            ...settings.listen,
            maxConnections: settings.maxConnections,
            identity: () => {
                if (own.identity === undefined) {
                    throw new Error("the entry is still starting");
                }
                return own.identity.current;
            },
            secret: settings.secret,
            log: runtime.log,
            metrics: runtime.metrics,
        });
        const address = settings.advertise ?? `${settings.listen.host}:${listener.port}`;
        const { id, region, failureDomain } = settings;
        own.identity = new EntryIdentity({ id, region, failureDomain, address });
        const entry = new Entry(settings, runtime, own.identity);
        await entry.open(listener);
        return entry;
    }

    public get httpPort(): number {
        return this.sockets?.http.port ?? 0;
    }

    public get wirePort(): number {
        return this.sockets?.listener.port ?? 0;
    }

    public get identity(): Identity {
        return this.ownIdentity.current;
    }

    /**
     * Refuses new work, waits for the open jobs, closes the connections, and returns one line per unfinished job. While
     * a drain is in progress, a further call returns its result and has no limit of its own.
     */
    public drain(limitMs: number): Promise<readonly string[]> {
        this.drainResult ??= this.runDrain(limitMs);
        return this.drainResult;
    }

    public dispose(): Promise<void> {
        this.sockets?.http.abort();
        this.ejectionLog.dispose();
        this.channelPool.dispose();
        this.agents.dispose();
        this.jobs.dispose();
        this.cluster.dispose();
        this.sockets?.listener.dispose();
        this.clock.dispose();
        return Promise.resolve();
    }

    private async open(listener: Listener): Promise<void> {
        listener.onChannel(channel => {
            this.accept(channel);
        });
        const { members, configuration } = this.cluster;
        const app = createApp({
            settings: this.settings,
            tokens: this.tokens,
            configurationRoutes: this.cluster.routes,
            clock: this.runtime.clock,
            log: this.runtime.log,
            draining: () => this.draining,
            routes: [
                ticketRoutes(this.tickets),
                jobRoutes(this.relay),
                operatorRoutes({
                    members,
                    configuration,
                    agents: this.agents,
                    queued: service => this.jobs.queued(service),
                    startDrain: () => {
                        void this.drain(this.settings.drainLimitMs);
                    },
                }),
            ],
        });
        const http = await HttpServer.listen(app, this.settings.http, this.runtime.log);
        this.sockets = { listener, http };
        await this.cluster.start();
        // Uses the entry's own clock, so that disposing the entry also cancels the timer of the gauges.
        reportGauges(this.clock, this.runtime.metrics, {
            openJobs: () => this.jobs.openCount,
            services: () => configuration.services(),
            queued: service => this.jobs.queued(service),
            agents: () => this.agents.counts(),
        });
        this.runtime.log.write(EntryEvent.Started, { http: http.port, wire: listener.port });
    }

    private accept(channel: Channel): void {
        this.cluster.accept(channel);
        if (channel.peer.role === Role.Agent) {
            this.agents.accept(channel);
        }
    }

    private async runDrain(limitMs: number): Promise<readonly string[]> {
        const until = this.clock.now() + limitMs;
        this.refuseNewWork();
        while (this.jobs.openCount > 0 && this.clock.now() < until) {
            await this.pause();
        }
        const left = this.jobs.describeOpenJobs();
        await this.closeHttp(until);
        this.agents.closeAll("the entry has drained");
        this.runtime.log.write(EntryEvent.DrainEnded, { left });
        this.drains.fire(left);
        return left;
    }

    /** Stops accepting HTTP connections and waits until open requests are answered, at most until `until`. */
    private async closeHttp(until: number): Promise<void> {
        const http = { open: true };
        void this.sockets?.http.close().then(() => {
            http.open = false;
        });
        while (http.open && this.clock.now() < until) {
            await this.pause();
            this.sockets?.http.closeIdle();
        }
    }

    private refuseNewWork(): void {
        this.draining = true;
        this.runtime.log.write(EntryEvent.DrainStarted, { openJobs: this.jobs.openCount });
        this.tickets.drain();
        this.jobs.drain();
        this.agents.drain();
        this.cluster.drain();
    }

    private handleAgentEvents(): void {
        this.agents.onEvent(event => {
            if (event.kind === "state") {
                this.cluster.configurationManager.receive(event.message, event.agent, event.reply);
            }
            if (event.kind === "fenced" && event.issuer === this.ownIdentity.current.incarnation) {
                this.runtime.log.write(EntryEvent.IssuerFenced, { issuer: event.issuer, agent: event.agent });
                this.ownIdentity.renew();
                void this.jobs.settleOpen();
                this.agents.closeAll("the entry has a new incarnation");
            }
        });
    }

    private pause(): Promise<void> {
        return new Promise(resolve => {
            this.runtime.clock.schedule(DRAIN_POLL_MS, resolve);
        });
    }
}
