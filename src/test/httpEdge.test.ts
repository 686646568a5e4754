import * as fc from "fast-check";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { text } from "node:stream/consumers";
import { after, before, describe, it } from "node:test";
import { SilentLog } from "../common/log/SilentLog.js";
import { NoMetrics } from "../common/NoMetrics.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { EntrySettings } from "../common/settings/EntrySettings.js";
import { SystemClock } from "../common/SystemClock.js";
import { Entry } from "../entry/Entry.js";
import { Platform } from "../platform/Platform.js";
import { FakeAgent } from "./FakeAgent.js";

const SECRET = "a secret of the deployment";
const TOKEN = "token of the operator";
const HOST = "127.0.0.1";
const RUNS = { seed: 20_261_204, numRuns: 300 };
const MAX_BODY_BYTES = 4096;
/** Largest heap growth in bytes that 20 MB of refused input may cause. */
const MAX_HEAP_GROWTH = 64 * 1024 * 1024;
const VERDICTS = ["not_run", "may_have_run", "ran"];

const METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "HEAD", "LINK", "BREW", "get"];
const PATHS = [
    "/v1/jobs",
    "/v1/tickets",
    "/v1/requests",
    "/v1/jobs/x",
    "/v1/jobs/%ff%00",
    "/v1/jobs/x/story",
    "/v1/jobs/x?waitMs=-1",
    "/v1/config/sections/tour",
    "/v1/config/sections/__proto__",
    "/v1/config/tokens/..",
    "/v1/config/check",
    "/v1/nothing",
    "//",
    "/\\",
    "*",
    "http://[",
];

describe("HTTP interface of an entry", { timeout: 120_000 }, () => {
    let platform: Platform;
    let entry: Entry;
    let agent: FakeAgent;

    /**
     * Sends bytes, closes the sending side unless `keepOpen`, and returns everything received until the server closes.
     * A server that never does lets the test time out.
     */
    async function exchange(request: string | Buffer, keepOpen = false): Promise<string> {
        const socket = connect(entry.httpPort, HOST);
        socket.on("error", () => undefined);
        if (keepOpen) {
            socket.write(request);
        }
        else {
            socket.end(request);
        }
        return text(socket).catch(() => "");
    }

    function post(path: string, body: string, headers = ""): string {
        const length = `content-length: ${Buffer.byteLength(body)}`;
        return `POST ${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${TOKEN}\r\n${length}\r\n${headers}`
            + `connection: close\r\n\r\n${body}`;
    }

    /** Status and JSON body of an HTTP response. */
    function parse(response: string): { status: number; body: Record<string, unknown>; } {
        const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(response)?.[1]);
        const payload = response.slice(response.indexOf("\r\n\r\n") + 4);
        const json = payload.slice(payload.indexOf("{"), payload.lastIndexOf("}") + 1);
        return { status, body: json === "" ? {} : JSON.parse(json) as Record<string, unknown> };
    }

    /** Asserts that a response is an error with a code and a verdict, and not an internal one (500). */
    function assertError(response: string, statuses?: readonly number[]): void {
        const { status, body } = parse(response);
        const error = body["error"] as { readonly code?: string; } | undefined;
        assert.ok(status >= 400 && status < 600, response);
        assert.equal(typeof error?.code, "string", response);
        assert.ok(VERDICTS.includes(String(body["verdict"])), response);
        assert.ok(statuses === undefined || statuses.includes(status), response);
        assert.notEqual(status, 500, response);
    }

    async function assertJobRuns(): Promise<void> {
        const tickets = parse(await exchange(post("/v1/tickets", '{"service":"tour","count":1}'), true)).body;
        const [ticket] = tickets["tickets"] as string[];
        const body = JSON.stringify({ ticket, service: "tour", deadlineMs: 20_000, payload: { a: 1 } });
        const answer = parse(await exchange(post("/v1/requests", body), true)).body;
        assert.equal(answer["state"], "complete");
    }

    before(async () => {
        const runtime = {
            clock: new SystemClock(),
            log: new SilentLog(),
            metrics: new NoMetrics(),
            random: new SeededRandom(1),
        };
        platform = await Platform.start({ http: { host: HOST, port: 0 }, writeDelayMs: 0 }, runtime);
        const settings = EntrySettings.parse({
            id: "entry-1",
            region: "r",
            failureDomain: "f",
            listen: { host: HOST, port: 0 },
            http: { host: HOST, port: 0 },
            secret: SECRET,
            tokens: [{ token: TOKEN, role: "admin", team: "tour" }],
            maxBodyBytes: MAX_BODY_BYTES,
            platform: { url: `http://${HOST}:${platform.port}` },
        });
        entry = await Entry.start(settings, runtime);
        const section = JSON.stringify({ team: "tour", services: { tour: {} } });
        const put = post("/v1/config/sections/tour", section, "if-none-match: *\r\n").replace("POST", "PUT");
        assert.equal(parse(await exchange(put, true)).status, 200);
        agent = await FakeAgent.start(SECRET);
        agent.echo();
        await agent.attach(entry.wirePort, "tour", 2);
    });

    after(async () => {
        agent.dispose();
        await entry.dispose();
        await platform.dispose();
    });

    it("guards against requests that hang, crash the entry or get an error without code and verdict", async () => {
        const header = fc.constantFrom(
            "content-type: text/xml",
            "content-type: application/json; charset=utf-32",
            "expect: 100-continue",
            'if-match: "99999999999999999999"',
            "accept-encoding: zzz",
            "x: \u0001",
            "upgrade: websocket",
            "content-encoding: gzip",
        );
        const request = fc.record({
            method: fc.constantFrom(...METHODS),
            path: fc.oneof(fc.constantFrom(...PATHS), fc.webPath().map(path => `/v1${path}`)),
            headers: fc.array(header, { maxLength: 3 }),
            body: fc.oneof(fc.json(), fc.string(), fc.constant("")),
            host: fc.constantFrom("x", "", "a b", "[::"),
        });
        const property = fc.asyncProperty(request, async ({ method, path, headers, body, host }) => {
            const lines = [`host: ${host}`, `authorization: Bearer ${TOKEN}`, "connection: close", ...headers];
            const length = `content-length: ${Buffer.byteLength(body)}`;
            const head = [`${method} ${path} HTTP/1.1`, ...lines, length].join("\r\n");
            const response = await exchange(`${head}\r\n\r\n${body}`, true);
            if (method !== "HEAD" && !/^HTTP\/1\.1 (100|2\d\d)/.test(response)) {
                assertError(response);
            }
        });
        await fc.assert(property, RUNS);
        await assertJobRuns();
    });

    it("guards against a crash or a hang caused by bytes that are not HTTP", async () => {
        const property = fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 300 }), async bytes => {
            const response = await exchange(Buffer.from(bytes));
            if (response !== "") {
                assertError(response, [400, 431]);
            }
        });
        await fc.assert(property, RUNS);
        await assertJobRuns();
    });

    it("guards against deep, huge, truncated and reserved bodies that are accepted or cause an internal error", async () => {
        const task = (payload: string) =>
            `{"service":"tour","ticket":"t","deadlineMs":1,"tasks":[{"payload":${payload}}]}`;
        const deep = (levels: number) => "[".repeat(levels) + "]".repeat(levels);
        for (const body of [deep(1500), task(deep(65)), task('{"__proto__":1}'), task('{"\\u005f_proto__":1}'), "{"]) {
            assertError(await exchange(post("/v1/jobs", body), true), [400]);
        }
        assertError(await exchange(post("/v1/jobs", "x".repeat(MAX_BODY_BYTES + 1)), true), [413]);
        const chunked = `POST /v1/jobs HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${TOKEN}\r\n`
            + "transfer-encoding: chunked\r\nconnection: close\r\n\r\n";
        const chunk = `1000\r\n${"y".repeat(4096)}\r\n`;
        assertError(await exchange(`${chunked}${chunk}${chunk}0\r\n\r\n`, true), [413]);
        assertError(await exchange(`${chunked}zz\r\n`, true), [400]);
        await exchange(post("/v1/jobs", "x".repeat(100)).slice(0, -50));
        await assertJobRuns();
    });

    it("guards against a missing error body when the headers exceed their limit", async () => {
        const many = Array.from({ length: 3000 }, (_, index) => `h${index}: ${index}`).join("\r\n");
        assertError(await exchange(`GET /v1/members HTTP/1.1\r\nhost: x\r\n${many}\r\n\r\n`, true), [431]);
        assertError(await exchange(`GET /${"a".repeat(20_000)} HTTP/1.1\r\nhost: x\r\n\r\n`, true), [431]);
    });

    it("guards against memory kept for refused input and for slow callers", async () => {
        const startBytes = process.memoryUsage().heapUsed;
        const slow = Array.from({ length: 50 }, () => {
            const socket = connect(entry.httpPort, HOST);
            socket.on("error", () => undefined);
            socket.write(post("/v1/jobs", "x".repeat(MAX_BODY_BYTES)).slice(0, -100));
            return socket;
        });
        for (let round = 0; round < 100; round += 1) {
            await exchange(post("/v1/jobs", "x".repeat(200_000)), true);
        }
        assert.ok(process.memoryUsage().heapUsed - startBytes < MAX_HEAP_GROWTH);
        await assertJobRuns();
        slow.forEach(socket => socket.destroy());
    });
});
