// Builds dist/waxwingshunt: one bundle (esbuild) injected into a copy of the Node.js executable (postject).
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { bundleOptions } from "./bundle.mjs";

const BUNDLE = "dist/main.cjs";
const BINARY = "dist/waxwingshunt";
const INJECTED = "dist/injected";
const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));

mkdirSync("dist", { recursive: true });
await build(bundleOptions("src/main.ts", BUNDLE, version));

writeFileSync(
    "dist/sea-config.json",
    JSON.stringify({
        main: BUNDLE,
        output: "dist/sea.blob",
        disableExperimentalSEAWarning: true,
        useCodeCache: true,
    }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea-config.json"], { stdio: "inherit" });
copyFileSync(process.execPath, INJECTED);
execFileSync(
    process.execPath,
    ["node_modules/postject/dist/cli.js", INJECTED, "NODE_SEA_BLOB", "dist/sea.blob", "--sentinel-fuse", SEA_FUSE],
    { stdio: "inherit" },
);
// postject writes the file in one piece, which the page cache keeps in large blocks that are mapped as a whole: a
// process of the injected file has 14 MB more resident memory than a process of a copy. The copy is renamed into place
// because the file of a running binary cannot be written.
copyFileSync(INJECTED, `${BINARY}.new`);
rmSync(INJECTED);
chmodSync(`${BINARY}.new`, 0o755);
renameSync(`${BINARY}.new`, BINARY);
