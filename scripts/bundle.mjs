// Options of esbuild that the builds of the binary and of the platform's target share.
import { resolve } from "node:path";

/** Replaces the index of undici by the parts that are used. */
const slimUndici = {
    name: "slim-undici",
    setup: ({ onResolve }) => onResolve({ filter: /^undici$/ }, () => ({ path: resolve("scripts/slimUndici.cjs") })),
};

/**
 * The native accelerators of cbor-x and hot-shots are optional and cannot stand in a single file. Both libraries catch the
 * failure; left as external they made Node.js print a warning at each start.
 */
const absentNatives = {
    name: "absent-natives",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: /^(cbor-extract|unix-dgram)$/ }, ({ path }) => ({ path, namespace: "absent" }));
        onLoad({ filter: /.*/, namespace: "absent" }, () => ({ contents: "throw new Error('not in the binary');" }));
    },
};

/** Bundles src/main.ts for Node.js 20 into `outfile`. */
export const bundleOptions = (outfile, version) => ({
    entryPoints: ["src/main.ts"],
    outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    plugins: [slimUndici, absentNatives],
    define: { "process.env.WAXWINGSHUNT_VERSION": JSON.stringify(version) },
    logLevel: "warning",
});
