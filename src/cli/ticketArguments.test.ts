import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { ExitCode } from "./ExitCode.js";
import { RecordingTerminal } from "./RecordingTerminal.js";
import { registerClientCommands } from "./registerClientCommands.js";
import { registerRoleCommands } from "./registerRoleCommands.js";
import { runCommandLine } from "./runCommandLine.js";

const TICKET_BODY = "OK5qIeO_W4Y1bPuQ2J-boZIoGIGbhwLm4dvMTI3LjAuMC4xOjM3OTM3";
const COMMANDS = ["status", "cancel", "explain"];

describe("ticket arguments", () => {
    const paths: string[] = [];
    let server: Server;
    let client: readonly string[];

    before(async () => {
        server = createServer((request, response) => {
            paths.push(request.url ?? "");
            const answer = { ticket: "t", state: "complete", verdict: "ran", tasks: [], steps: [] };
            response.writeHead(200).end(JSON.stringify(answer));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        client = ["--entry", `http://127.0.0.1:${(server.address() as AddressInfo).port}`, "--token", "x", "--json"];
    });

    after(() => {
        server.closeAllConnections();
        server.close();
    });

    async function run(args: readonly string[]): Promise<{ code: ExitCode; text: string; path: string | undefined; }> {
        paths.length = 0;
        const terminal = new RecordingTerminal();
        const code = await runCommandLine(args, terminal, "1.2.3", [registerRoleCommands, registerClientCommands]);
        return { code, text: [...terminal.lines, ...terminal.errors].join("\n"), path: paths[0] };
    }

    for (const command of COMMANDS) {
        describe(command, () => {
            // One ticket in 64 begins with a hyphen, because tickets are base64url. -h and -V are also short options.
            for (const start of ["-", "-h", "-V", "--"]) {
                it(`guards against a ticket that begins with ${start} and is taken for an option`, async () => {
                    const ticket = `${start}${TICKET_BODY}`;
                    for (const args of [[command, ticket, ...client], [command, ...client, ticket]]) {
                        const { path, text } = await run(args);
                        assert.ok(path?.startsWith(`/v1/jobs/${ticket}`), text);
                    }
                });
            }

            for (const argument of ["--jsn", "-x", "a b"]) {
                it(`guards against ${argument}, which is no ticket, being sent to an entry`, async () => {
                    const { code, text, path } = await run([command, argument, ...client]);
                    assert.deepEqual([code, path], [ExitCode.Usage, undefined], text);
                    assert.match(text, new RegExp(argument));
                });
            }

            it("guards against a second ticket that is ignored", async () => {
                const { code, path } = await run([command, TICKET_BODY, `-${TICKET_BODY}`, ...client]);
                assert.deepEqual([code, path], [ExitCode.Usage, undefined]);
            });

            it("guards against help that is taken for a ticket", async () => {
                const { code, text } = await run([command, "--help"]);
                assert.equal(code, ExitCode.Success);
                assert.match(text, /Usage/);
            });
        });
    }
});
