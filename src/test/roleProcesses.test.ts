import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { after, describe, it } from "node:test";

const FREE = { host: "127.0.0.1", port: 0 };
const SECRET = "a secret of the deployment";
const COMMON = { id: "one", region: "r", failureDomain: "f", listen: FREE, secret: SECRET };
const SETTINGS: Readonly<Record<string, object>> = {
    platform: { http: FREE },
    entry: { ...COMMON, http: FREE, tokens: [{ token: "token of the operator", role: "admin", team: "t" }] },
    agent: { ...COMMON, rack: "k", announce: FREE, entries: ["127.0.0.1:9"] },
    endpoint: { service: "s", http: FREE, agent: "http://127.0.0.1:9", slots: 1 },
};

describe("processes of the roles", { timeout: 120_000 }, () => {
    const children: ChildProcess[] = [];

    after(() => {
        children.forEach(child => child.kill("SIGKILL"));
    });

    for (const [role, settings] of Object.entries(SETTINGS)) {
        it(`guards against an idle ${role} that logs nothing, or that SIGTERM ends with an error`, async () => {
            const args = ["--import", "tsx", "src/main.ts", role, "--settings", "-"];
            const child = spawn(process.execPath, args, { stdio: ["pipe", "pipe", "pipe"] });
            children.push(child);
            child.stdin.end(JSON.stringify(settings));
            const ended = new Promise<number | null>(resolve => child.once("close", resolve));
            let log = "";
            child.stderr.on("data", (chunk: Buffer) => {
                const wasStarted = log.includes("role started");
                log += chunk.toString();
                if (!wasStarted && log.includes("role started")) {
                    child.kill("SIGTERM");
                }
            });
            assert.equal(await ended, 0, log);
            assert.match(log, /"event":7003/);
        });
    }
});
