// Builds target/waxwingshunt.cjs, the bundle that deploy/system.toml runs.
import { build } from "esbuild";
import { readFileSync } from "node:fs";
import { bundleOptions } from "./bundle.mjs";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));
await build(bundleOptions("target/waxwingshunt.cjs", version));
