// Builds what deploy/system.toml runs: target/bundle.cjs, its launcher target/waxwingshunt.cjs, and V8's code cache.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync, rmSync } from "node:fs";
import { bundleOptions } from "./bundle.mjs";

const DEPLOY = readFileSync("deploy/system.toml", "utf8");

/** Flags of V8 in the roles' commands; V8 takes a code cache only under the flags it was made with. */
const flags = new Set(
    [...DEPLOY.matchAll(/^run = "node (.*) target\/waxwingshunt\.cjs"$/gm)].map(match => match[1]),
);
if (flags.size !== 1) {
    throw new Error(`the roles in deploy/system.toml must run under the same flags, found: ${[...flags].join(" | ")}`);
}

const { version } = JSON.parse(readFileSync("package.json", "utf8"));
rmSync("target/bundle.cache", { force: true });
// undici does without HTTP/2 when the module is absent; its load takes an eighth of a start.
await build(bundleOptions("platform/main.ts", "target/bundle.cjs", version, ["node:http2"]));
copyFileSync("scripts/targetLauncher.cjs", "target/waxwingshunt.cjs");
const [common = ""] = flags;
execFileSync(process.execPath, [...common.split(" "), "scripts/writeCodeCache.cjs"], {
    stdio: ["ignore", "ignore", 2],
});
