import type { BackendRecord } from "@endivebridge/standins";
import type { LoadResult } from "./LoadPlan";

/** Counts that must be 0, from the servers' own records compared with what callers were told. */
export interface SafetyCounts {
    readonly wrongAnswers: number;
    readonly doubledOperations: number;
    readonly falseNotRun: number;
    readonly overSlotDispatches: number;
}

function isReadOperation(label: string): boolean {
    return label.startsWith("read");
}

/** Compares what servers ran with what callers were told. */
export function countSafety(records: readonly BackendRecord[], result: LoadResult): SafetyCounts {
    const begun = new Map<string, number>();
    const runsByOperation = new Map<string, number>();
    for (const record of records) {
        for (const [token, runs] of record.begun) {
            begun.set(token, (begun.get(token) ?? 0) + runs);
            const operation = token.split("#")[0]!;
            if (!isReadOperation(operation)) {
                runsByOperation.set(operation, (runsByOperation.get(operation) ?? 0) + runs);
            }
        }
    }
    return {
        wrongAnswers: result.wrongAnswers,
        doubledOperations: [...runsByOperation.values()].filter(runs => runs > 1).length,
        falseNotRun: result.toldNotRun.filter(token => begun.has(token)).length,
        overSlotDispatches: records.reduce((sum, record) => sum + record.overSlotDispatches, 0)
    };
}

/** Whether all counts are 0. */
export function isSafe(counts: SafetyCounts): boolean {
    return Object.values(counts).every(count => count === 0);
}
