// Measures how CPU time, memory and traffic of a process grow with one kind of load:
// npm run slopes -- workers|queued|rate|teams|changes|members
// It starts the built binary and helper processes on loopback and prints one line for each process and load. The bytes
// of the entry and the agent include log lines; the bytes of the helper with the fake agents are those on the wire.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";

const HOST = "127.0.0.1";
const BINARY = "dist/waxwingshunt";
const FIRST_PORT = 21_400;
const WARM_UP_MS = 4000;
const MEASURE_MS = 8000;
const TICKS_PER_SECOND = 100;
const BYTES_PER_KB = 1024;
const TOKEN = "an-administrator-of-the-slopes";
const SECRET = "a-shared-secret-of-the-slopes";
const TASKS_PER_JOB = 20;
const QUEUED_JOB_TASKS = 400;

const POINTS = {
    workers: [8, 32, 64],
    queued: [1000, 5000, 20_000],
    rate: [100, 200, 800, 2000],
    teams: [10, 160, 640],
    changes: [0.6, 3, 10],
    members: [3, 10, 30],
};

const directory = mkdtempSync(join(tmpdir(), "slopes-"));
const children = new Set();
let nextPort = FIRST_PORT;

const pause = ms => new Promise(resolve => setTimeout(resolve, ms));
const port = () => nextPort++;

function trackChild(child) {
    children.add(child);
    child.once("exit", () => children.delete(child));
    return child;
}

function startRole(role, settings) {
    const path = join(directory, `${role}-${port()}.json`);
    writeFileSync(path, JSON.stringify(settings));
    return trackChild(spawn(BINARY, [role, "--settings", path], { stdio: "ignore" }));
}

async function startHelper(...args) {
    const child = trackChild(
        spawn(process.execPath, ["--import", "tsx", "scripts/slopePeers.mjs", ...args.map(String)], {
            stdio: ["ignore", "inherit", "inherit", "ipc"],
        }),
    );
    await once(child, "message");
    return child;
}

async function stopAll() {
    const ended = [...children].map(child => once(child, "exit"));
    [...children].forEach(child => child.kill("SIGKILL"));
    await Promise.all(ended);
}

async function until(what, condition, limitMs = 30_000) {
    const end = performance.now() + limitMs;
    while (!(await condition().catch(() => false))) {
        if (performance.now() > end) {
            throw new Error(`timed out waiting for ${what}`);
        }
        await pause(50);
    }
}

async function call(method, url, body, headers = {}) {
    const response = await fetch(url, {
        method,
        headers: { "authorization": `Bearer ${TOKEN}`, "content-type": "application/json", ...headers },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { status: response.status, body: await response.json() };
}

async function startPlatform() {
    const http = port();
    const child = startRole("platform", { http: { host: HOST, port: http }, writeDelayMs: 5 });
    const url = `http://${HOST}:${http}`;
    await until("platform", async () => (await fetch(`${url}/v1/statistics`)).ok);
    return { child, url };
}

async function startEntry(platform, id = "entry-1", entries = []) {
    const wire = port();
    const http = port();
    const child = startRole("entry", {
        id,
        entries,
        region: "r",
        failureDomain: "f",
        listen: { host: HOST, port: wire },
        http: { host: HOST, port: http },
        secret: SECRET,
        tokens: [{ token: TOKEN, role: "admin", team: "team-0" }],
        platform: { url: platform.url },
    });
    const url = `http://${HOST}:${http}`;
    await until("entry", async () => (await fetch(`${url}/healthz`)).ok);
    return { child, url, wire };
}

async function startAgent(entry) {
    const server = createServer((request, response) => request.resume().on("end", () => response.end("{}")));
    server.listen(0, HOST);
    server.unref();
    await once(server, "listening");
    const announce = port();
    const child = startRole("agent", {
        id: `agent-${announce}`,
        region: "r",
        failureDomain: "f",
        rack: "k",
        listen: { host: HOST, port: port() },
        announce: { host: HOST, port: announce },
        secret: SECRET,
        entries: [`${HOST}:${entry.wire}`],
    });
    const body = { service: "s-0", url: `http://${HOST}:${server.address().port}/`, slots: 8, connections: 64 };
    await until(
        "agent",
        async () => (await call("POST", `http://${HOST}:${announce}/v1/endpoint`, body)).status === 200,
    );
    return { child };
}

const revisions = new Map();

async function putSection(entry, index, weight = 1) {
    const team = `team-${index}`;
    const body = {
        team,
        weight,
        quota: { maxTasks: 1_000_000 },
        services: { [`s-${index}`]: { maxQueuedTasks: 1_000_000, maxTasksPerJob: 400 } },
    };
    const headers = { "if-match": `"${revisions.get(team) ?? 0}"` };
    const reply = await call("PUT", `${entry.url}/v1/config/sections/${team}`, body, headers);
    if (reply.status !== 200) {
        throw new Error(`put of ${team}: ${reply.status} ${JSON.stringify(reply.body)}`);
    }
    revisions.set(team, reply.body.revision);
}

function usageOf(pid) {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    const field = name => Number(new RegExp(`${name}: (\\d+)`).exec(io)?.[1]);
    const resident = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
    const cpuMs = (Number(stat[11]) + Number(stat[12])) * 1000 / TICKS_PER_SECOND;
    return {
        at: performance.now(),
        cpuMs,
        residentMb: Number(resident) / BYTES_PER_KB,
        read: field("rchar"),
        written: field("wchar"),
    };
}

async function messagesOf(helper) {
    const answer = once(helper, "message");
    helper.send("count");
    return (await answer)[0];
}

/** Measures processes for `MEASURE_MS` and divides by `shares`. The helper `peers` also reports its message counts. */
async function measure(point, processes, platform, shares = 1) {
    await pause(WARM_UP_MS);
    const before = new Map();
    for (const [name, child] of Object.entries(processes)) {
        const messages = name === "peers" ? await messagesOf(child) : undefined;
        before.set(name, { ...usageOf(child.pid), messages });
    }
    const storeBefore = platform === undefined ? undefined : (await call("GET", `${platform.url}/v1/statistics`)).body;
    await pause(MEASURE_MS);
    for (const [name, child] of Object.entries(processes)) {
        const { at, cpuMs, read, written, messages } = before.get(name);
        const now = usageOf(child.pid);
        const seconds = (now.at - at) / 1000;
        const per = value => (value / seconds / shares).toFixed(1);
        const fields = [
            `${name}: cpu ${((now.cpuMs - cpuMs) / (now.at - at) * 100 / shares).toFixed(2)}%`,
            `resident ${now.residentMb.toFixed(1)} MB`,
            `read ${per(now.read - read)} B/s`,
            `written ${per(now.written - written)} B/s`,
        ];
        if (messages !== undefined) {
            const after = await messagesOf(child);
            fields.push(
                `received ${per(after.received - messages.received)}/s`,
                `sent ${per(after.sent - messages.sent)}/s`,
            );
        }
        console.log(`${point} | ${fields.join(", ")}`);
    }
    if (storeBefore !== undefined) {
        const { body } = await call("GET", `${platform.url}/v1/statistics`);
        const rate = name => ((body[name] - storeBefore[name]) / (MEASURE_MS / 1000)).toFixed(1);
        console.log(`${point} | store: ${rate("reads")} reads/s, ${rate("writes")} writes/s`);
    }
}

async function submit(entry, tickets, tasks, wait) {
    const reply = await call("POST", `${entry.url}/v1/jobs`, {
        ticket: tickets.pop(),
        service: "s-0",
        deadlineMs: 300_000,
        wait,
        tasks: Array.from({ length: tasks }, (_, index) => ({ payload: { index }, sizeMs: 10 })),
    });
    if (reply.status !== 202 && reply.status !== 200) {
        throw new Error(`job refused: ${reply.status} ${JSON.stringify(reply.body)}`);
    }
}

async function ticketsOf(entry, count) {
    const reply = await call("POST", `${entry.url}/v1/tickets`, { service: "s-0", count });
    if (!Array.isArray(reply.body.tickets)) {
        throw new Error(`tickets refused: ${JSON.stringify(reply.body)}`);
    }
    return [...reply.body.tickets];
}

const MEASUREMENTS = {
    async workers(count) {
        const platform = await startPlatform();
        const entry = await startEntry(platform);
        await putSection(entry, 0);
        const peers = await startHelper("agents", entry.wire, SECRET, count, "echo");
        await measure(`workers=${count}`, { entry: entry.child, peers });
    },

    async queued(count) {
        const platform = await startPlatform();
        const entry = await startEntry(platform);
        await putSection(entry, 0);
        const peers = await startHelper("agents", entry.wire, SECRET, 11, "hold");
        const tickets = await ticketsOf(entry, Math.ceil(count / QUEUED_JOB_TASKS) + 1);
        for (let left = count; left > 0; left -= QUEUED_JOB_TASKS) {
            await submit(entry, tickets, Math.min(left, QUEUED_JOB_TASKS), false);
        }
        await measure(`queued=${count}`, { entry: entry.child, peers });
    },

    async rate(count) {
        const platform = await startPlatform();
        const entry = await startEntry(platform);
        await putSection(entry, 0);
        const peers = await startHelper("agents", entry.wire, SECRET, 11, "echo");
        const callers = await startHelper("callers", entry.url, TOKEN, count / TASKS_PER_JOB, TASKS_PER_JOB);
        await measure(`rate=${count}`, { entry: entry.child, peers });
        console.log(`rate=${count} | jobs: ${JSON.stringify(await messagesOf(callers))}`);
    },

    async teams(count) {
        const platform = await startPlatform();
        const entry = await startEntry(platform);
        for (let index = 0; index < count; index++) {
            await putSection(entry, index);
        }
        const agent = await startAgent(entry);
        // The heap of the first entry has garbage of the puts; the second one got the whole configuration at its start.
        const second = await startEntry(platform, "entry-2", [`${HOST}:${entry.wire}`]);
        const processes = { entry: entry.child, second: second.child, agent: agent.child };
        await measure(`teams=${count}`, processes, platform);
    },

    async changes(perSecond) {
        const platform = await startPlatform();
        const entry = await startEntry(platform);
        for (let index = 0; index < 160; index++) {
            await putSection(entry, index);
        }
        const agent = await startAgent(entry);
        let turn = 0;
        const timer = setInterval(() => {
            turn += 1;
            putSection(entry, turn % 160, 1 + turn % 7).catch(error => console.log(String(error)));
        }, 1000 / perSecond);
        await measure(`changes=${perSecond}/s`, { entry: entry.child, agent: agent.child }, platform);
        clearInterval(timer);
    },

    async members(count) {
        const platform = await startPlatform();
        const members = await startHelper("members", platform.url, count);
        await measure(`members=${count}, figures per member except memory`, { members }, platform, count);
    },
};

const [kind = ""] = process.argv.slice(2);
if (!Object.hasOwn(POINTS, kind)) {
    console.error(`usage: npm run slopes -- ${Object.keys(POINTS).join("|")}`);
    process.exit(2);
}
try {
    for (const point of POINTS[kind]) {
        revisions.clear();
        await MEASUREMENTS[kind](point);
        await stopAll();
    }
}
finally {
    await stopAll();
    rmSync(directory, { recursive: true });
}
