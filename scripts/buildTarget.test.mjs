import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { existsSync, mkdtempSync, rmSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { afterEach, describe, it } from "node:test";

/** Files and folders that a build reads; it writes to `target` in its working directory. */
const SOURCES = ["deploy", "node_modules", "package.json", "platform", "scripts", "src", "tsconfig.json"];

describe("buildTarget", () => {
    const copies = [];

    afterEach(() => {
        copies.splice(0).forEach(copy => rmSync(copy, { recursive: true }));
    });

    /** Working copy that shares its sources with this one. */
    function createCopy() {
        const copy = mkdtempSync(join(tmpdir(), "waxwingshunt-build-"));
        copies.push(copy);
        SOURCES.forEach(name => symlinkSync(resolve(name), join(copy, name)));
        return copy;
    }

    /** Builds in `copy`; resolves with the exit code and what the build printed about faults. */
    function build(copy) {
        return new Promise(done => {
            execFile(process.execPath, ["scripts/buildTarget.mjs"], { cwd: copy }, (error, _, faults) => {
                done({ code: error === null ? 0 : error.code, faults });
            });
        });
    }

    // The entry that writes the code cache listened on fixed ports, so of two builds at once one failed.
    it("guards against a build that fails or has an incomplete code cache beside builds in other copies", async () => {
        const builds = await Promise.all([createCopy(), createCopy(), createCopy()].map(build));
        assert.deepEqual(builds, Array(3).fill({ code: 0, faults: "" }));
        assert.ok(copies.every(copy => existsSync(join(copy, "target", "bundle.cache"))));
    });
});
