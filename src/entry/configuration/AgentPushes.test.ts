import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConfigurationCopy } from "../../agent/ConfigurationCopy.js";
import { ConfigurationStore } from "../../common/configuration/ConfigurationStore.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import type { Message } from "../../common/wire/Message.js";
import { AgentPushes } from "./AgentPushes.js";

/** Attached agent that keeps what it is sent. */
class Holder {
    public readonly copy = new ConfigurationCopy();
    public readonly service = "s";
    public received = 0;

    constructor(public readonly id: string) {}

    public get revision(): number {
        return this.copy.revision;
    }

    public get section(): number {
        return this.copy.sectionOf(this.service);
    }

    public send(message: Message): boolean {
        assert.ok(message.kind === "configuration");
        this.received += 1;
        this.copy.adopt(message);
        return true;
    }
}

describe("AgentPushes", () => {
    const store = new ConfigurationStore();
    const holders = Array.from({ length: 10 }, (_, index) => new Holder(`w${index}`));
    const pushes = new AgentPushes(store, { attached: () => holders }, new VirtualClock());

    it("guards against pushing every change to every agent, and against a part taken for the whole document", () => {
        store.adopt(1, [{ team: "a", revision: 1, body: { team: "a", services: { s: { shards: 3 } } } }]);
        pushes.push();
        store.adopt(2, [{ team: "b", revision: 2, body: { team: "b" } }]);
        pushes.push();
        assert.deepEqual(holders.map(({ revision }) => revision).sort(), [0, 0, 0, 0, 0, 0, 0, 0, 2, 2]);
        assert.equal(holders.reduce((sum, { received }) => sum + received, 0), 12);
        assert.ok(holders.every(({ copy }) => copy.shardsOf("s") === 3));
        assert.ok(pushes.revisions().every(({ revision }) => revision === 2));
        for (const { copy } of holders) {
            const starting = new ConfigurationStore();
            const { revision, sections } = copy.since(0);
            starting.adopt(revision, sections);
            assert.ok(starting.revision === 0 || starting.teams().length === 2);
        }
    });

    it("guards against an agent that misses a change of its own section", () => {
        store.adopt(3, [{ team: "a", revision: 3, body: { team: "a", services: { s: { shards: 5 } } } }]);
        pushes.push();
        assert.ok(holders.every(({ copy }) => copy.shardsOf("s") === 5));
    });
});
