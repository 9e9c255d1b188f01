import base from "./ava.config.js";

/** Tests that load an instance: one at a time, apart from all others. */
export default {
    ...base,
    files: ["packages/*/src/__tests__/load/*.test.ts", "platform/src/__tests__/load/*.test.ts"],
    concurrency: 1
};
