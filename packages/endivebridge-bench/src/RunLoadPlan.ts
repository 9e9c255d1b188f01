import { fork } from "node:child_process";
import type { CallerProcessReply, LoadPlan, LoadResult } from "./LoadPlan";
import { programPath } from "./Programs";

/** Runs a load plan in a separate caller process. */
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
        child.once(
            "exit",
            code => reject(new Error(`the caller process exited with code ${code} before it sent a result`))
        );
        child.send({ kind: "run", plan });
    });
}
