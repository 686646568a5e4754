import { connect } from "node:net";
import { Emitter } from "../common/Emitter.js";
import type { Runtime } from "../common/Runtime.js";
import { AgentEvent } from "./AgentEvent.js";
import type { EndpointDeclaration } from "./EndpointDeclaration.js";
import { EndpointHttpClient } from "./EndpointHttpClient.js";

const HEALTH_CHECK_MS = 1000;
const HEALTH_TIMEOUT_MS = 1000;
const MAX_FAILED_CHECKS = 3;

/**
 * The endpoint that this agent serves, from its announcement until it is withdrawn or no longer accepts connections.
 */
export class ServedEndpoint {
    private readonly announcements = new Emitter<EndpointDeclaration>();
    private readonly withdrawals = new Emitter<string>();
    private readonly clients = new Set<EndpointHttpClient>();
    private current: { declaration: EndpointDeclaration; client: EndpointHttpClient; } | undefined;
    private failedChecks = 0;
    private cancelCheck: () => void = () => undefined;

    /** Fires with each endpoint declaration that is new or has changed. */
    public readonly onAnnounced = this.announcements.event;

    /** Fires with the reason when the endpoint is withdrawn; its running tasks continue. */
    public readonly onWithdrawn = this.withdrawals.event;

    constructor(private readonly runtime: Runtime) {}

    public get client(): EndpointHttpClient | undefined {
        return this.current?.client;
    }

    /** Serves `declaration`; a repeated one changes nothing, a different one replaces the current endpoint. */
    public announce(declaration: EndpointDeclaration): void {
        const present = this.current?.declaration;
        if (present !== undefined && JSON.stringify(present) === JSON.stringify(declaration)) {
            return;
        }
        this.withdraw("replaced by another announcement");
        this.runtime.log.write(AgentEvent.EndpointAnnounced, { ...declaration });
        const client = new EndpointHttpClient(declaration, this.runtime.clock);
        this.clients.add(client);
        this.current = { declaration, client };
        this.failedChecks = 0;
        this.scheduleCheck(declaration);
        this.announcements.fire(declaration);
    }

    public withdraw(reason: string): void {
        if (this.current === undefined) {
            return;
        }
        const { client } = this.current;
        this.current = undefined;
        this.cancelCheck();
        this.runtime.log.write(AgentEvent.EndpointWithdrawn, { reason });
        void client.close().finally(() => this.clients.delete(client));
        this.withdrawals.fire(reason);
    }

    public async dispose(): Promise<void> {
        this.cancelCheck();
        this.current = undefined;
        await Promise.all([...this.clients].map(client => client.destroy()));
    }

    private scheduleCheck(declaration: EndpointDeclaration): void {
        this.cancelCheck = this.runtime.clock.schedule(HEALTH_CHECK_MS, () => {
            const url = new URL(declaration.url);
            void accepts(url.hostname, Number(url.port === "" ? 80 : url.port)).then(alive => {
                this.handleCheck(declaration, alive);
            });
        });
    }

    private handleCheck(declaration: EndpointDeclaration, alive: boolean): void {
        if (this.current?.declaration !== declaration) {
            return;
        }
        this.failedChecks = alive ? 0 : this.failedChecks + 1;
        if (this.failedChecks < MAX_FAILED_CHECKS) {
            this.scheduleCheck(declaration);
            return;
        }
        this.runtime.log.write(AgentEvent.EndpointDead, { url: declaration.url });
        this.withdraw("endpoint does not accept connections");
    }
}

/** Whether a TCP connection can be opened. */
function accepts(host: string, port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect({ host, port, timeout: HEALTH_TIMEOUT_MS });
        const finish = (alive: boolean) => {
            socket.destroy();
            resolve(alive);
        };
        socket.once("connect", () => {
            finish(true);
        });
        socket.once("error", () => {
            finish(false);
        });
        socket.once("timeout", () => {
            finish(false);
        });
    });
}
