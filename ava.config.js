export default {
    files: [
        "packages/*/src/__tests__/**/*.test.ts",
        "platform/src/__tests__/**/*.test.ts",
        "!**/__tests__/load/**"
    ],
    extensions: { ts: "module" },
    nodeArguments: ["--import=tsx"],
    timeout: "3m",
    concurrency: 2,
    workerThreads: false
};
