import { addResources } from "../../common/leased/addResources.js";
import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { NO_RESOURCES } from "../../common/leased/NO_RESOURCES.js";
import type { Resources } from "../../common/leased/Resources.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";

interface OpenOrder {
    readonly number: number;
    readonly need: Resources;
}

/** What the entry knows of one attached agent. */
export class AgentView {
    /** Names of the tasks that the entry has ordered here and that have not ended. */
    public readonly tasks = new Set<string>();
    private condition: EndpointStatus | undefined;
    private receivedAt = 0;
    private tenuredAt = Number.NEGATIVE_INFINITY;
    private lastOrder = 0;
    /** Orders that the last report does not count yet. */
    private openOrders: OpenOrder[] = [];
    private room: Resources = NO_RESOURCES;

    constructor(
        /** Name of the agent's VM. */
        public readonly id: string,
        public readonly failureDomain: string,
        public readonly channel: Channel,
    ) {}

    public get current(): EndpointStatus | undefined {
        return this.condition;
    }

    /** Whether the agent can be given tasks. */
    public get accepting(): boolean {
        return this.condition?.accepting === true && this.condition.clockMs > 0;
    }

    /** Age of the newest report in milliseconds. */
    public ageMs(now: number): number {
        return now - this.receivedAt;
    }

    /** Takes a report of the agent. */
    public take(message: MessageOf<"load">, now: number): void {
        this.condition = message.condition;
        this.receivedAt = now;
        this.openOrders = this.openOrders.filter(order => order.number > message.orders);
        const reported = addResources(message.condition.capacity, message.condition.used, -1);
        this.room = this.openOrders.reduce((sum, order) => addResources(sum, order.need, -1), reported);
    }

    /** Estimate of the endpoint's clock, behind it by the one-way delay or more; undefined while nothing is known. */
    public clockMs(now: number): number | undefined {
        const reported = this.condition?.clockMs ?? 0;
        return reported === 0 ? undefined : Math.floor(reported + this.ageMs(now) * LEASE_TIMES.MIN_CLOCK_RATE);
    }

    /** Time since the last renewal of the tenure in milliseconds. */
    public tenureAgeMs(now: number): number {
        return now - this.tenuredAt;
    }

    /** Renews the tenure; returns its end on the endpoint's clock, 0 while that clock is unknown. */
    public renewTenure(now: number): number {
        const clockMs = this.clockMs(now);
        this.tenuredAt = now;
        return clockMs === undefined ? 0 : clockMs + LEASE_TIMES.ENTRY_LEASE_MS;
    }

    /** Room that neither the agent's report nor a later order of this entry takes. */
    public free(): Resources {
        return this.room;
    }

    /** Takes room for a task of the order that the next `commit` numbers. */
    public reserve(need: Resources): void {
        this.openOrders.push({ number: this.lastOrder + 1, need });
        this.room = addResources(this.room, need, -1);
    }

    /** Returns the number of the order that is sent now. */
    public commit(): number {
        this.lastOrder += 1;
        return this.lastOrder;
    }
}
