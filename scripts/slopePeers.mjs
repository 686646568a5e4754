// Helper process of measureSlopes.mjs: fake agents, callers, or entries that are members of one region.
import { SilentLog } from "../src/common/log/SilentLog.ts";
import { newIncarnation } from "../src/common/newIncarnation.ts";
import { SystemClock } from "../src/common/SystemClock.ts";
import { dial } from "../src/common/wire/dial.ts";
import { StateEntry } from "../src/test/StateEntry.ts";

const KEEPALIVE_MS = 1000;
const KEEPALIVE_CHECK_MS = 250;
const SLOTS = 8;
const TICKET_BATCH = 500;

const counts = { received: 0, sent: 0, done: 0, failed: 0, status: {} };

/** Starts a fake agent that reports the outcome of a start at once (mode `echo`) or never (mode `hold`). */
async function startAgent(address, secret, number, mode) {
    const identity = {
        role: "agent",
        id: `fake-${number}`,
        incarnation: newIncarnation(),
        region: "r",
        failureDomain: "f",
        address: "127.0.0.1:1",
    };
    const channel = await dial(address, identity, secret, new SilentLog());
    let sentAt = 0;
    const send = message => {
        counts.sent += 1;
        sentAt = performance.now();
        channel.send(message);
    };
    let section = 0;
    channel.onMessage(message => {
        counts.received += 1;
        if (message.kind === "configuration") {
            section = message.partial ? message.revision : Math.max(1, section);
            send({ kind: "heartbeat", load: 0, revision: message.partial ? 0 : message.revision, section });
        }
        if (message.kind === "start" && mode === "echo") {
            const { issuer, sequence, task, attempt } = message;
            const outcome = { task, attempt, verdict: "ran", ok: true, output: 1, runMs: 1 };
            send({ kind: "outcome", issuer, sequence, outcome, credit: true });
        }
    });
    send({ kind: "attach", service: "s-0", rack: `rack-${number % 4}`, slots: SLOTS, connections: 64 });
    send({ kind: "credit", count: SLOTS });
    setInterval(() => {
        if (performance.now() - sentAt >= KEEPALIVE_MS) {
            send({ kind: "alive" });
        }
    }, KEEPALIVE_CHECK_MS);
}

async function post(url, token, body) {
    const response = await fetch(url, {
        method: "POST",
        headers: { "authorization": `Bearer ${token}`, "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    return { status: response.status, body: await response.json() };
}

async function startCallers(url, token, jobsPerSecond, tasksPerJob) {
    const unusedTickets = [];
    const tasks = Array.from({ length: tasksPerJob }, (_, index) => ({ payload: { index }, sizeMs: 1 }));
    const fetchTickets = async () => {
        const { body } = await post(`${url}/v1/tickets`, token, { service: "s-0", count: TICKET_BATCH });
        unusedTickets.push(...body.tickets);
    };
    await fetchTickets();
    let nextAt = performance.now();
    setInterval(() => {
        for (; nextAt <= performance.now(); nextAt += 1000 / jobsPerSecond) {
            if (unusedTickets.length === TICKET_BATCH / 2) {
                void fetchTickets();
            }
            const job = { ticket: unusedTickets.shift(), service: "s-0", deadlineMs: 5000, wait: true, tasks };
            void post(`${url}/v1/jobs`, token, job).then(({ status, body }) => {
                counts.status[status] = (counts.status[status] ?? 0) + 1;
                counts[body.state === "complete" ? "done" : "failed"] += 1;
            });
        }
    }, 5);
}

const [kind, ...args] = process.argv.slice(2);
if (kind === "agents") {
    const [port, secret, count, mode] = args;
    for (let number = 0; number < Number(count); number++) {
        await startAgent(`127.0.0.1:${port}`, secret, number, mode);
    }
}
else if (kind === "callers") {
    const [url, token, jobs, tasks] = args;
    await startCallers(url, token, Number(jobs), Number(tasks));
}
else {
    const [platform, count] = args;
    const clock = new SystemClock();
    const seeds = [];
    for (let number = 0; number < Number(count); number++) {
        const entry = await StateEntry.start(`e${number}`, { platform, seeds: [...seeds], clock });
        seeds.splice(0, seeds.length, entry.address);
    }
}
process.on("message", () => process.send(counts));
process.send("ready");
