import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConfigurationReplica } from "../../agent/ConfigurationReplica.js";
import { ConfigurationStore } from "../../common/configuration/ConfigurationStore.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import type { Message } from "../../common/wire/Message.js";
import { AgentPusher } from "./AgentPusher.js";

/** Attached agent that stores the configuration that it receives. */
class Replica {
    public readonly copy = new ConfigurationReplica();
    public readonly service = "s";
    public received = 0;

    constructor(public readonly id: string) {}

    public get revision(): number {
        return this.copy.revision;
    }

    public get section(): number {
        return this.copy.sectionRevisionOf(this.service);
    }

    public send(message: Message): boolean {
        assert.ok(message.kind === "configuration");
        this.received += 1;
        this.copy.adopt(message);
        return true;
    }
}

describe("AgentPusher", () => {
    const store = new ConfigurationStore();
    const replicas = Array.from({ length: 10 }, (_, index) => new Replica(`w${index}`));
    const pusher = new AgentPusher(store, { attached: () => replicas }, new VirtualClock());

    it("guards against pushing every change to every agent, and against a partial document treated as the whole one", () => {
        store.adopt(1, [{ team: "a", revision: 1, body: { team: "a", services: { s: { shards: 3 } } } }]);
        pusher.push();
        store.adopt(2, [{ team: "b", revision: 2, body: { team: "b" } }]);
        pusher.push();
        assert.deepEqual(replicas.map(({ revision }) => revision).sort(), [0, 0, 0, 0, 0, 0, 0, 0, 2, 2]);
        assert.equal(replicas.reduce((sum, { received }) => sum + received, 0), 12);
        assert.ok(replicas.every(({ copy }) => copy.shardsOf("s") === 3));
        assert.ok(pusher.revisions().every(({ revision }) => revision === 2));
        for (const { copy } of replicas) {
            const starting = new ConfigurationStore();
            const { revision, sections } = copy.since(0);
            starting.adopt(revision, sections);
            assert.ok(starting.revision === 0 || starting.teams().length === 2);
        }
    });

    it("guards against an agent that misses a change of its own section", () => {
        store.adopt(3, [{ team: "a", revision: 3, body: { team: "a", services: { s: { shards: 5 } } } }]);
        pusher.push();
        assert.ok(replicas.every(({ copy }) => copy.shardsOf("s") === 5));
    });
});
