import { fork } from "node:child_process";
import type { CallerProcessReply, LoadPlan, LoadResult } from "./LoadPlan";
import { programPath } from "./Programs";

/** Runs a plan in the callers' process. */
export function runLoadPlan(
    plan: LoadPlan,
    onProgress?: (answered: number, failed: number) => void
): Promise<LoadResult> {
    const child = fork(programPath("endivebench"), ["caller-process"], {
        stdio: ["ignore", "inherit", "inherit", "ipc"]
    });
    return new Promise((resolve, reject) => {
        child.on("message", (message: CallerProcessReply) => {
            if (message.kind === "progress") {
                onProgress?.(message.answered, message.failed);
                return;
            }
            child.disconnect();
            resolve(message.result);
        });
        child.once("exit", code => reject(new Error(`the callers' process ended early with ${code}`)));
        child.send({ kind: "run", plan });
    });
}
