// Builds dist/waxwingshunt: one bundle (esbuild) injected into a copy of the Node.js executable (postject).
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";

const BUNDLE = "dist/main.cjs";
const BINARY = "dist/waxwingshunt";
const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));

mkdirSync("dist", { recursive: true });
await build({
    entryPoints: ["src/main.ts"],
    outfile: BUNDLE,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // The native accelerators of cbor-x and hot-shots are optional and cannot stand in a single file.
    external: ["cbor-extract", "unix-dgram"],
    define: { "process.env.WAXWINGSHUNT_VERSION": JSON.stringify(version) },
    logLevel: "warning",
});

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
copyFileSync(process.execPath, BINARY);
execFileSync(
    process.execPath,
    ["node_modules/postject/dist/cli.js", BINARY, "NODE_SEA_BLOB", "dist/sea.blob", "--sentinel-fuse", SEA_FUSE],
    { stdio: "inherit" },
);
chmodSync(BINARY, 0o755);
