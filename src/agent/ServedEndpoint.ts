import { connect } from "node:net";
import { Emitter } from "../common/Emitter.js";
import type { Runtime } from "../common/Runtime.js";
import { AgentEvent } from "./AgentEvent.js";
import { Caller } from "./Caller.js";
import type { EndpointDeclaration } from "./EndpointDeclaration.js";

const HEALTH_CHECK_MS = 1000;
const HEALTH_TIMEOUT_MS = 1000;
const MAX_FAILED_CHECKS = 3;

/** The endpoint that this agent serves, from its announcement until it is withdrawn or found dead. */
export class ServedEndpoint {
    private readonly announcements = new Emitter<EndpointDeclaration>();
    private readonly withdrawals = new Emitter<string>();
    private readonly callers = new Set<Caller>();
    private current: { declaration: EndpointDeclaration; caller: Caller; } | undefined;
    private failedChecks = 0;
    private cancelCheck: () => void = () => undefined;

    /** Fires with each endpoint that is new or has changed. */
    public readonly onAnnounced = this.announcements.event;

    /** Fires with the reason when the endpoint leaves; its running tasks go on. */
    public readonly onWithdrawn = this.withdrawals.event;

    constructor(private readonly runtime: Runtime) {}

    public get caller(): Caller | undefined {
        return this.current?.caller;
    }

    /** Serves `declaration`; repeating the present one changes nothing, another one replaces it. */
    public announce(declaration: EndpointDeclaration): void {
        const present = this.current?.declaration;
        if (present !== undefined && JSON.stringify(present) === JSON.stringify(declaration)) {
            return;
        }
        this.withdraw("replaced by another announcement");
        this.runtime.log.write(AgentEvent.EndpointAnnounced, { ...declaration });
        const caller = new Caller(declaration, this.runtime.clock);
        this.callers.add(caller);
        this.current = { declaration, caller };
        this.failedChecks = 0;
        this.scheduleCheck(declaration);
        this.announcements.fire(declaration);
    }

    public withdraw(reason: string): void {
        if (this.current === undefined) {
            return;
        }
        const { caller } = this.current;
        this.current = undefined;
        this.cancelCheck();
        this.runtime.log.write(AgentEvent.EndpointWithdrawn, { reason });
        void caller.close().finally(() => this.callers.delete(caller));
        this.withdrawals.fire(reason);
    }

    public async dispose(): Promise<void> {
        this.cancelCheck();
        this.current = undefined;
        await Promise.all([...this.callers].map(caller => caller.destroy()));
    }

    private scheduleCheck(declaration: EndpointDeclaration): void {
        this.cancelCheck = this.runtime.clock.schedule(HEALTH_CHECK_MS, () => {
            const url = new URL(declaration.url);
            void accepts(url.hostname, Number(url.port === "" ? 80 : url.port)).then(alive => {
                this.checked(declaration, alive);
            });
        });
    }

    private checked(declaration: EndpointDeclaration, alive: boolean): void {
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

/** Says whether a TCP connection can be opened. */
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
