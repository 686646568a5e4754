import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../common/SeededRandom.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import { Role } from "../../common/wire/Role.js";
import { EmulatedChannel } from "../../emulator/EmulatedChannel.js";
import { AgentHealth } from "./AgentHealth.js";
import { AgentView } from "./AgentView.js";
import { FastestEndpoint } from "./FastestEndpoint.js";
import { newJob } from "./newJob.js";

const TASK_CPU = 10_000;
const DOMAIN = "near";

/** Number of choices that is large enough to show a preference in spite of the random part of the cost. */
const ROUNDS = 50;

const clock = new VirtualClock();
const identity = { role: Role.Agent, id: "a", incarnation: "1", region: "r", failureDomain: "d", address: "a" };

function createAgent(id: string, failureDomain: string, usedTasks: number, slowness = 1): AgentView {
    const [channel] = EmulatedChannel.pair(identity, identity, clock, 1);
    const view = new AgentView(id, failureDomain, channel);
    const condition = {
        service: "s",
        endpoint: id,
        labels: [],
        capacity: { cpu: 64_000, memoryMb: 1000, gpu: 0 },
        used: { cpu: usedTasks * TASK_CPU, memoryMb: 0, gpu: 0 },
        accepting: true,
        slowness,
        clockMs: 1,
    };
    view.applyReport({ kind: "load", condition, orders: 0, tenured: true }, 0);
    return view;
}

/** Counts how often each agent is chosen for a task of a job whose other tasks go to the agents `chosen`. */
function chooseOften(agents: readonly AgentView[], chosen: readonly string[] = []): Map<string, number> {
    const placement = new FastestEndpoint(new AgentHealth(clock), new SeededRandom(1), DOMAIN);
    const step = {
        count: 2,
        need: { cpu: TASK_CPU, memoryMb: 1, gpu: 0 },
        estimateMs: 100,
        after: [],
        requiredLabel: undefined,
        preferredRack: undefined,
        maxPerEndpoint: 0,
    };
    const route = {
        name: "r",
        host: "h",
        prefix: "/",
        service: "s",
        priority: 0,
        maxAttempts: 1,
        timeoutMs: 1500,
        targetMs: 60,
        stretch: 1.6,
        advised: false,
    };
    const job = newJob({ id: "0", spec: "", steps: [step] }, route, 0, 1500);
    const counts = new Map<string, number>();
    for (let round = 0; round < ROUNDS; round += 1) {
        const [task] = job.tasks;
        assert.ok(task !== undefined);
        const agent = placement.choose({ job, step, task, now: 0, chosenAgents: new Set(chosen) }, agents);
        counts.set(agent?.id ?? "none", (counts.get(agent?.id ?? "none") ?? 0) + 1);
    }
    return counts;
}

describe("FastestEndpoint", () => {
    it("guards against spreading the tasks of one job over equal endpoints", () => {
        const counts = chooseOften([createAgent("first", DOMAIN, 1), createAgent("second", DOMAIN, 1)], ["first"]);
        assert.ok((counts.get("first") ?? 0) > ROUNDS * 0.8, `${counts.get("first")} of ${ROUNDS}`);
    });

    it("guards against filling one endpoint with a job while others have more free capacity", () => {
        const counts = chooseOften([createAgent("first", DOMAIN, 5), createAgent("second", DOMAIN, 0)], ["first"]);
        assert.ok((counts.get("second") ?? 0) > ROUNDS * 0.8, `${counts.get("second")} of ${ROUNDS}`);
    });

    it("guards against choosing a much slower endpoint to keep the tasks of a job together", () => {
        const agents = [createAgent("slow", DOMAIN, 0, 1.3), createAgent("fast", DOMAIN, 0)];
        assert.equal(chooseOften(agents, ["slow"]).get("fast"), ROUNDS);
    });

    it("guards against traffic between failure domains while the entry's own one has free capacity", () => {
        const near = chooseOften([createAgent("far", "far", 1), createAgent("near", DOMAIN, 1)]).get("near") ?? 0;
        assert.ok(near > ROUNDS * 0.9, `${near} of ${ROUNDS}`);
    });

    it("guards against filling the entry's own failure domain before the others are used", () => {
        const far = chooseOften([createAgent("far", "far", 0), createAgent("near", DOMAIN, 5)]).get("far") ?? 0;
        assert.ok(far > ROUNDS * 0.9, `${far} of ${ROUNDS}`);
    });
});
