import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ExitCode } from "./ExitCode.js";
import { RecordingTerminal } from "./RecordingTerminal.js";
import { registerClientCommands } from "./registerClientCommands.js";
import { registerRoleCommands } from "./registerRoleCommands.js";
import { runCommandLine } from "./runCommandLine.js";

const CLIENT = ["--entry", "http://127.0.0.1:9", "--token", "x"];

async function run(args: readonly string[], file?: string): Promise<{ code: ExitCode; text: string; }> {
    const terminal = new RecordingTerminal(file);
    const code = await runCommandLine(args, terminal, "1.2.3", [registerRoleCommands, registerClientCommands]);
    return { code, text: [...terminal.lines, ...terminal.errors].join("\n") };
}

describe("runCommandLine", () => {
    it("guards against a --version that fails", async () => {
        assert.deepEqual(await run(["--version"]), { code: ExitCode.Success, text: "1.2.3" });
    });

    for (const args of [["unknown"], ["entry"], ["submit", ...CLIENT], ["cancel", ...CLIENT]]) {
        it(`guards against wrong usage that is accepted: ${args.join(" ")}`, async () => {
            assert.equal((await run(args)).code, ExitCode.Usage);
        });
    }

    it("guards against a validation error of the task list without its path", async () => {
        const { code, text } = await run(["submit", ...CLIENT, "--service", "s"], '[{"payload":1,"sizeMs":-1}]');
        assert.equal(code, ExitCode.Usage);
        assert.match(text, /\[0\]\.sizeMs/);
    });

    it("guards against success when no entry responds", async () => {
        assert.equal((await run(["drain", ...CLIENT])).code, ExitCode.Failure);
    });
});
