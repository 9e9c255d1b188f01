import type { NewRow } from "@endivebridge/platform";
import { Effect, Result } from "effect";
import type { Context } from "./Context";
import { closedMarkerKey, makeEndedRow, operationRowKey } from "./OperationRows";
import { runTaskIteration } from "./RunTaskIteration";

const maxBatchRows = 100;
const minFlushIntervalMillis = 500;
const flushIntervalMillisPerInstance = 5;
const maxFinalFlushBatches = 20;

/** Returns the name, unique per incarnation, that operation rows store as the runner of an operation. */
export function runnerName(context: Context): string {
    return `${context.settings.instance}.${context.incarnation}`;
}

/** Returns the wall-clock time after which the platform may delete an operation row that is written now. */
export function operationRowExpiresAtEpochMillis(context: Context): number {
    return Date.now() + 2 * context.settings.timing.operationMemoryMillis;
}

/**
 * Inserts rows one at a time and skips those that exist. An existing row is an earlier write of this process, because
 * only this incarnation writes these rows while it runs.
 */
const insertMissingRows = (context: Context, rows: readonly NewRow[]) =>
    Effect.forEach(rows, row =>
        Effect.gen(function*() {
            const result = yield* Effect.result(context.platform.writeRow(row.key, 0, row.value));
            if (Result.isFailure(result) && result.failure.kind !== "conflict") {
                yield* Effect.fail(result.failure);
            }
        }));

/** Writes one batch of ended operations to the table; returns true when no unsaved operation is left. */
const flushBatch = (context: Context) =>
    Effect.gen(function*() {
        const ended = context.journal.unsaved(maxBatchRows);
        if (ended.length === 0) {
            return true;
        }
        const runner = runnerName(context);
        const rows = ended.map(endedOperation => ({
            key: operationRowKey(endedOperation.operation),
            value: makeEndedRow(runner, endedOperation, operationRowExpiresAtEpochMillis(context))
        }));
        const result = yield* Effect.result(context.platform.insertRows(rows));
        if (Result.isFailure(result)) {
            // An earlier batch whose response was lost may have written some of these rows, but not all.
            yield* result.failure.kind === "conflict" ? insertMissingRows(context, rows) : Effect.fail(result.failure);
        }
        context.journal.markSaved(ended.map(endedOperation => endedOperation.operation));
        return ended.length < maxBatchRows;
    });

/** Returns the time between batches, which grows with the number of instances to limit the table's total write rate. */
function flushIntervalMillis(context: Context): number {
    return Math.max(
        minFlushIntervalMillis,
        context.instances.read().entries.length * flushIntervalMillisPerInstance
    );
}

/** Writes ended operations to the table asynchronously, in batches, until interrupted. */
export const journalTask = (context: Context): Effect.Effect<never> =>
    Effect.gen(function*() {
        for (;;) {
            yield* Effect.sleep(flushIntervalMillis(context) * (0.8 + Math.random() * 0.4));
            yield* runTaskIteration(context, "journal", flushBatch(context));
            context.metrics.gauge("journal_entries", context.journal.size());
        }
    });

/**
 * Writes all ended operations and then the row that marks this incarnation's journal as complete. Call it only when
 * this incarnation starts no more operations. Returns whether both succeeded.
 */
export const closeJournal = (context: Context): Effect.Effect<boolean> =>
    Effect.gen(function*() {
        for (let attempt = 0; attempt < maxFinalFlushBatches; attempt += 1) {
            const flushed = yield* Effect.result(flushBatch(context));
            if (Result.isFailure(flushed)) {
                return false;
            }
            if (flushed.success) {
                const key = closedMarkerKey(context.settings.instance, context.incarnation);
                const closed = yield* Effect.result(
                    context.platform.writeRow(key, 0, { closedAtEpochMillis: Date.now() })
                );
                return Result.isSuccess(closed);
            }
        }
        return false;
    });
