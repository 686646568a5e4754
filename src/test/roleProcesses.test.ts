import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { after, describe, it } from "node:test";

const ANY_PORT = { host: "127.0.0.1", port: 0 };
const SECRET = "a secret of the deployment";
const COMMON = { id: "one", region: "r", failureDomain: "f", listen: ANY_PORT, secret: SECRET };
const SETTINGS: Readonly<Record<string, object>> = {
    platform: { http: ANY_PORT },
    entry: { ...COMMON, http: ANY_PORT, tokens: [{ token: "token of the operator", role: "admin", team: "t" }] },
    agent: { ...COMMON, rack: "k", announce: ANY_PORT, entries: ["127.0.0.1:9"] },
    endpoint: { service: "s", http: ANY_PORT, agent: "http://127.0.0.1:9", slots: 1 },
};

describe("processes of the roles", { timeout: 120_000 }, () => {
    const children: ChildProcess[] = [];

    after(() => {
        children.forEach(child => child.kill("SIGKILL"));
    });

    for (const [role, settings] of Object.entries(SETTINGS)) {
        it(`guards against an idle ${role} that logs nothing or exits with an error on SIGTERM`, async () => {
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
