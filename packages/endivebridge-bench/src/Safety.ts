import type { BackendRecord } from "@endivebridge/standins";
import type { LoadResult } from "./LoadPlan";

/** Violation counts, each 0 in a correct run, from server records and the outcomes reported to callers. */
export interface SafetyCounts {
    readonly wrongAnswers: number;
    readonly doubledOperations: number;
    readonly falseNotRun: number;
    readonly overSlotDispatches: number;
}

function isReadOperation(label: string): boolean {
    return label.startsWith("read");
}

/** Counts violations by comparing the requests that servers ran with the outcomes reported to callers. */
export function countSafetyViolations(records: readonly BackendRecord[], result: LoadResult): SafetyCounts {
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

/** Whether a run had no violation. */
export function isSafe(counts: SafetyCounts): boolean {
    return Object.values(counts).every(count => count === 0);
}
