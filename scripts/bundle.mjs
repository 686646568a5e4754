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
const ABSENT_NATIVES = ["cbor-extract", "unix-dgram"];

/** Leaves out modules whose absence the library that asks for them catches. */
const withoutModules = names => ({
    name: "without-modules",
    setup: ({ onResolve, onLoad }) => {
        const filter = new RegExp(`^(${names.join("|")})$`);
        onResolve({ filter }, ({ path }) => ({ path, namespace: "absent" }));
        onLoad({ filter: /.*/, namespace: "absent" }, () => ({ contents: "throw new Error('not in the bundle');" }));
    },
});

/** Bundles `main` for Node.js 20 into `outfile`, without the modules named in `absent` besides the native ones. */
export const bundleOptions = (main, outfile, version, absent = []) => ({
    entryPoints: [main],
    outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    plugins: [slimUndici, withoutModules([...ABSENT_NATIVES, ...absent])],
    define: { "process.env.WAXWINGSHUNT_VERSION": JSON.stringify(version) },
    logLevel: "warning",
});
