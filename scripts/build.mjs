import { build } from "esbuild";

const programs = {
    endivebridged: "packages/endivebridge-daemon/src/main.ts",
    endivectl: "packages/endivebridge-ctl/src/main.ts",
    endivetrace: "packages/endivebridge-trace/src/main.ts",
    endivebench: "packages/endivebridge-bench/src/main.ts"
};

const requireShim = "import { createRequire as __createRequire } from \"node:module\"; const require = __createRequire(import.meta.url);";

await build({
    entryPoints: programs,
    outdir: "dist",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    mainFields: ["module", "main"],
    sourcemap: "linked",
    logLevel: "warning",
    external: ["unix-dgram", "dtrace-provider", "mv", "safe-json-stringify"],
    banner: { js: `#!/usr/bin/env node\n${requireShim}` }
});
