// esbuild options shared by the builds of the binary and of the target for the platform.
import { resolve } from "node:path";

/** Replaces the index module of undici with the parts that are used. */
const slimUndici = {
    name: "slim-undici",
    setup: ({ onResolve }) => onResolve({ filter: /^undici$/ }, () => ({ path: resolve("scripts/slimUndici.cjs") })),
};

/**
 * The native accelerators of cbor-x and hot-shots are optional and cannot be part of a single file. Both libraries
 * catch the failed import. As external modules they made Node.js print a warning at each start.
 */
const OPTIONAL_NATIVE_MODULES = ["cbor-extract", "unix-dgram"];

/** Makes the import of the given modules throw; the libraries that import them must catch this. */
const withoutModules = names => ({
    name: "without-modules",
    setup: ({ onResolve, onLoad }) => {
        const filter = new RegExp(`^(${names.join("|")})$`);
        onResolve({ filter }, ({ path }) => ({ path, namespace: "absent" }));
        onLoad({ filter: /.*/, namespace: "absent" }, () => ({ contents: "throw new Error('not in the bundle');" }));
    },
});

/** Options that bundle `main` for Node.js 20 into `outfile`, without the native modules and those named in `absent`. */
export const bundleOptions = (main, outfile, version, absent = []) => ({
    entryPoints: [main],
    outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    plugins: [slimUndici, withoutModules([...OPTIONAL_NATIVE_MODULES, ...absent])],
    define: { "process.env.WAXWINGSHUNT_VERSION": JSON.stringify(version) },
    logLevel: "warning",
});
