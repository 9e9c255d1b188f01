import type { PlatformFailure } from "@endivebridge/platform";
import { monotonicMillis, type Teardown } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import type { Context } from "./Context";
import { decodeOperationRow, type StoredOperationRow } from "./OperationRows";

/** Rows of keyed operations that this instance wrote lately; a table that returns from a copy may have lost them. */
export interface WrittenRows {
    readonly record: (key: string, row: StoredOperationRow) => void;
    readonly recent: (nowMillis: number) => readonly (readonly [key: string, row: StoredOperationRow])[];
}

/** A copy from which the platform's table returns is no older than this. */
const maxCopyAgeMillis = 60_000;
/** Within this time after the table has returned, all instances have noticed it and written their rows again. */
const rewriteGraceMillis = 4_000;

/** Creates an empty list; rows older than the oldest copy are dropped from it. */
export function makeWrittenRows(): WrittenRows {
    /** In the order in which they were last written. */
    const rows = new Map<string, { readonly row: StoredOperationRow; readonly atMillis: number; }>();
    const dropOld = (nowMillis: number) => {
        for (const [key, { atMillis }] of rows) {
            if (nowMillis - atMillis <= maxCopyAgeMillis) {
                return;
            }
            rows.delete(key);
        }
    };
    return {
        record: (key, row) => {
            const nowMillis = monotonicMillis();
            dropOld(nowMillis);
            rows.delete(key);
            rows.set(key, { row, atMillis: nowMillis });
        },
        recent: nowMillis => {
            dropOld(nowMillis);
            return [...rows].map(([key, { row }]) => [key, row] as const);
        }
    };
}

/** Whether rows of operations may be missing from the table because it has just returned from a copy. */
export function mayMissOperationRows(context: Context): boolean {
    const { atMillis } = context.tableReturn;
    return atMillis !== undefined && monotonicMillis() - atMillis < rewriteGraceMillis;
}

/**
 * Writes a row that this instance has written before at the given version, or creates it (0). The outcome of an operation
 * is also written where the table has lost that row, or has an earlier one of this instance.
 */
export function writeOwnRow(
    context: Context,
    key: string,
    version: number,
    row: StoredOperationRow
): Effect.Effect<void, PlatformFailure> {
    return Effect.gen(function*() {
        const result = yield* Effect.result(context.platform.writeRow(key, version, row));
        if (Result.isSuccess(result)) {
            return;
        }
        const current = result.failure.kind === "conflict" ? result.failure.row : undefined;
        const isLost = result.failure.kind === "conflict" && current === undefined;
        const isOwn = current !== undefined && decodeOperationRow(current.value)?.runner === row.runner;
        if (row.state !== "running" && (isLost || isOwn)) {
            yield* context.platform.writeRow(key, current?.version ?? 0, row);
        }
    });
}

/** Writes the rows of operations again whenever the platform's table returns from a copy. */
export function registerRewriteAfterTableReturn(context: Context): Teardown {
    return context.platform.registerEraListener(era => {
        const nowMillis = monotonicMillis();
        context.tableReturn.atMillis = nowMillis;
        context.journal.markLost(nowMillis - maxCopyAgeMillis);
        const rows = context.writtenRows.recent(nowMillis);
        context.log.warn({ era, rows: rows.length }, "the platform's table returned from a copy; rows written again");
        context.fork(Effect.forEach(rows, ([key, row]) => Effect.ignore(writeOwnRow(context, key, 0, row))));
    });
}
