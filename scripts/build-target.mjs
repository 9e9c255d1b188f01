import { build } from "esbuild";

/** Bundles the program that the platform starts into a single file, so that a cold start reads as little as possible. */
await build({
    entryPoints: { endivebridged: "platform/src/main.ts" },
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    mainFields: ["module", "main"],
    logLevel: "warning",
    external: ["dtrace-provider", "mv", "safe-json-stringify", "source-map-support"]
});
