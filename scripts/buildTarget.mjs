// Builds the files that deploy/system.toml runs: target/bundle.cjs, its launcher target/waxwingshunt.cjs and V8's code
// cache.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync, rmSync } from "node:fs";
import { bundleOptions } from "./bundle.mjs";

const DEPLOY = readFileSync("deploy/system.toml", "utf8");

/** V8 flags in the commands of the roles; V8 accepts a code cache only under the flags it was created with. */
const flags = new Set(
    [...DEPLOY.matchAll(/^run = "node (.*) target\/waxwingshunt\.cjs"$/gm)].map(match => match[1]),
);
if (flags.size !== 1) {
    throw new Error(`the roles in deploy/system.toml must run under the same flags, found: ${[...flags].join(" | ")}`);
}

const { version } = JSON.parse(readFileSync("package.json", "utf8"));
rmSync("target/bundle.cache", { force: true });
// undici works without HTTP/2 when this module is absent; loading it takes an eighth of the start time.
await build(bundleOptions("platform/main.ts", "target/bundle.cjs", version, ["node:http2"]));
copyFileSync("scripts/targetLauncher.cjs", "target/waxwingshunt.cjs");
const [common = ""] = flags;
execFileSync(process.execPath, [...common.split(" "), "scripts/writeCodeCache.cjs"], {
    stdio: ["ignore", "ignore", 2],
});
