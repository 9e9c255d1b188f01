import { build } from "esbuild";

/** The program that the platform starts: one file, so that a start reads little. */
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
