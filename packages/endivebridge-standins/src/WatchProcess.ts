import type { ChildProcess } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";

/** The most that a process has held so far. */
export interface ProcessUse {
    readonly memoryMegabytes: number;
    readonly descriptors: number;
}

/** Counts what a process holds until it is stopped. */
export interface ProcessWatch {
    readonly isRunning: () => boolean;
    /** Returns what the process has held; throws after its end. */
    readonly use: () => ProcessUse;
    readonly stop: () => void;
}

const sampleIntervalMillis = 50;

/** Samples the open descriptors of a process; the kernel keeps its peak memory. */
export function watchProcess(child: ChildProcess): ProcessWatch {
    let descriptors = 0;
    // Without an exit code or a signal, the process still runs.
    const isRunning = () => (child.exitCode ?? child.signalCode ?? undefined) === undefined;
    const sample = () => {
        if (isRunning()) {
            descriptors = Math.max(descriptors, readdirSync(`/proc/${child.pid}/fd`).length);
        }
    };
    const timer = setInterval(sample, sampleIntervalMillis);
    return {
        isRunning,
        use: () => {
            sample();
            const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
            const peakKilobytes = Number(/VmHWM:\s*(\d+)/.exec(status)?.[1]);
            return { memoryMegabytes: Math.round(peakKilobytes / 1_024), descriptors };
        },
        stop: () => clearInterval(timer)
    };
}
