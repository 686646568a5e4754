import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Emitter } from "../../common/Emitter.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import { SeededRandom } from "../../common/SeededRandom.js";
import { TicketCodec } from "../../common/ticket/TicketCodec.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import { EntryIdentity } from "../EntryIdentity.js";
import { TicketIssuer } from "./TicketIssuer.js";

const MAX_TICKET_AGENTS = 64;
const AGENT_COUNT = 200;

describe("TicketIssuer", () => {
    it("guards against tickets that name more than 64 agents or always the same ones", async () => {
        const codec = new TicketCodec("a secret of the deployment");
        const agents = Array.from({ length: AGENT_COUNT }, (_, index) => ({
            address: `127.0.0.1:${index + 1}`,
            incarnation: index.toString(16).padStart(16, "0"),
        }));
        const tickets = new TicketIssuer({
            clock: new VirtualClock(),
            log: new SilentLog(),
            random: new SeededRandom(1),
            identity: new EntryIdentity({ id: "e", region: "r", failureDomain: "f", address: "127.0.0.1:9999" }),
            members: { live: () => [], home: () => undefined, onChange: new Emitter<void>().event },
            peers: { serve: () => ({ dispose: () => undefined }), call: () => Promise.reject(new Error("no peers")) },
            configuration: {
                revision: 1,
                onChange: new Emitter<number>().event,
                service: () => ({
                    shards: 1,
                    maxTasksPerJob: 10,
                    maxPayloadBytes: 100,
                    maxDeadlineMs: 5000,
                    maxTaskMs: 1000,
                    maxQueuedTasks: 20,
                    reservedShare: 0,
                }),
                team: () => undefined,
                services: () => ["s"],
                teams: () => [],
            },
            codec,
            attached: () => agents,
        });
        const named = new Set<string>();
        for (let batch = 0; batch < 30; batch++) {
            const [ticket = ""] = await tickets.issue("s", "t", 1);
            const set = codec.decode(ticket).unsafeCoerce().agents.map(agent => agent.incarnation);
            assert.equal(new Set(set).size, MAX_TICKET_AGENTS);
            set.forEach(agent => named.add(agent));
        }
        assert.equal(named.size, AGENT_COUNT);
    });
});
