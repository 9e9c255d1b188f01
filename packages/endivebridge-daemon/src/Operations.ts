import {
    errorAnswers,
    type OperationId,
    type OperationOutcome,
    parseOperationId,
    type SteeringError,
    steeringError
} from "@endivebridge/core";
import { Deferred, Effect, Result } from "effect";
import { createHash } from "node:crypto";
import type { Context } from "./Context";
import { forwardOperation } from "./ForwardRequest";
import { operationRowExpiresAtEpochMillis, runnerName } from "./JournalTask";
import {
    closedMarkerKey,
    decodeOperationRow,
    makeEndedRow,
    makeRunningRow,
    operationRowKey,
    outcomeFromRow
} from "./OperationRows";
import { makePeer, type Peer } from "./Peer";
import type { Answer, SteeringRequest } from "./SteeringRequest";
import { mayMissOperationRows, writeOwnRow } from "./TableReturn";

/** Hash of a request's service, method, path and body; requests under one operation id must have the same hash. */
export function requestFingerprint(request: SteeringRequest): string {
    return createHash("sha256")
        .update(`${request.service}\n${request.method}\n${request.path}\n`)
        .update(request.body)
        .digest("base64url");
}

function outcomeEffect(outcome: OperationOutcome<Answer>): Effect.Effect<Answer, SteeringError> {
    return outcome.kind === "answer" ? Effect.succeed(outcome.answer) : Effect.fail(outcome.error);
}

function toOutcome(result: Result.Result<Answer, SteeringError>): OperationOutcome<Answer> {
    return Result.isSuccess(result)
        ? { kind: "answer", answer: result.success }
        : { kind: "error", error: result.failure };
}

function mayHaveRun(outcome: OperationOutcome<Answer>): boolean {
    return outcome.kind === "answer" || errorAnswers[outcome.error.kind].ran !== "no";
}

/** Runs an operation that this incarnation owns; a resend gets the outcome of the first run. */
function runLocally(
    context: Context,
    request: SteeringRequest,
    text: string,
    id: OperationId,
    run: () => Effect.Effect<Answer, SteeringError>
): Effect.Effect<Answer, SteeringError> {
    return Effect.gen(function*() {
        const entry = context.journal.begin(text, id, requestFingerprint(request));
        if (entry.kind === "refused") {
            return yield* Effect.fail(entry.error);
        }
        if (entry.kind === "done") {
            return yield* outcomeEffect(entry.outcome);
        }
        if (entry.kind === "join") {
            return yield* outcomeEffect(yield* Deferred.await(entry.outcome));
        }
        context.metrics.count("operations", { service: request.service });
        // The run continues when the caller disconnects: every operation that a server started must be journaled.
        const task = Effect.gen(function*() {
            const outcome = toOutcome(yield* Effect.result(run()));
            entry.finish(outcome, mayHaveRun(outcome));
            return outcome;
        });
        const guardedTask = Effect.catchCause(task, () =>
            Effect.sync(() => {
                const outcome: OperationOutcome<Answer> = { kind: "error", error: steeringError("internal") };
                entry.finish(outcome, true);
                return outcome;
            }));
        const completion = Deferred.makeUnsafe<OperationOutcome<Answer>>();
        context.fork(Effect.flatMap(guardedTask, outcome => Deferred.succeed(completion, outcome)));
        return yield* outcomeEffect(yield* Deferred.await(completion));
    });
}

/**
 * Runs an operation that has not run yet and that no live incarnation owns. The conditional write of its row decides
 * which instance runs it; the others answer from the row.
 */
const insertRowAndRun = (
    context: Context,
    request: SteeringRequest,
    text: string,
    version: number,
    run: () => Effect.Effect<Answer, SteeringError>
): Effect.Effect<Answer, SteeringError> =>
    Effect.gen(function*() {
        const key = operationRowKey(text);
        const runner = runnerName(context);
        const fingerprint = requestFingerprint(request);
        const era = context.platform.era();
        if (mayMissOperationRows(context)) {
            return yield* Effect.fail(steeringError("platformDown", "its table is being completed"));
        }
        const begun = makeRunningRow(runner, fingerprint, operationRowExpiresAtEpochMillis(context));
        const insertResult = yield* Effect.result(context.platform.writeRow(key, version, begun, era));
        if (Result.isFailure(insertResult)) {
            const row = insertResult.failure.kind === "conflict" ? insertResult.failure.row : undefined;
            return row === undefined
                ? yield* Effect.fail(steeringError("platformDown", "the operation could not be recorded"))
                : yield* answerFromRow(request, row.value);
        }
        context.writtenRows.record(key, begun);
        const task = Effect.gen(function*() {
            const outcome = toOutcome(yield* Effect.result(run()));
            const row = makeEndedRow(runner, { fingerprint, outcome }, operationRowExpiresAtEpochMillis(context));
            context.writtenRows.record(key, row);
            context.fork(Effect.ignore(writeOwnRow(context, key, insertResult.success.version, row)));
            return outcome;
        });
        const completion = Deferred.makeUnsafe<OperationOutcome<Answer>>();
        context.fork(Effect.flatMap(task, outcome => Deferred.succeed(completion, outcome)));
        return yield* outcomeEffect(yield* Deferred.await(completion));
    });

function answerFromRow(request: SteeringRequest, value: unknown): Effect.Effect<Answer, SteeringError> {
    const row = decodeOperationRow(value);
    if (row === undefined) {
        return Effect.fail(steeringError("ownerUnreachable", "its row cannot be read"));
    }
    if (row.fingerprint !== requestFingerprint(request)) {
        return Effect.fail(steeringError("operationMismatch"));
    }
    const outcome = outcomeFromRow(row);
    return outcome === undefined
        ? Effect.fail(steeringError("ownerUnreachable", "did not run, may be taken up"))
        : outcomeEffect(outcome);
}

/** Resolves an operation whose owner is unreachable from the rows that the owner wrote to the table. */
const resolveWithoutOwner = (
    context: Context,
    request: SteeringRequest,
    text: string,
    id: OperationId,
    run: () => Effect.Effect<Answer, SteeringError>
): Effect.Effect<Answer, SteeringError> =>
    Effect.gen(function*() {
        const unreachable = steeringError("ownerUnreachable", `${id.instance} ${id.incarnation}`);
        const readRow = (key: string) => Effect.mapError(context.platform.readRow(key), () => unreachable);
        // The owner writes its operation rows before its closed marker, so the marker is read first.
        const closed = yield* readRow(closedMarkerKey(id.instance, id.incarnation));
        const row = yield* readRow(operationRowKey(text));
        const canRun = row === undefined ? closed !== undefined : decodeOperationRow(row.value)?.state === "notRun";
        if (canRun) {
            return yield* insertRowAndRun(context, request, text, row?.version ?? 0, run);
        }
        return row === undefined ? yield* Effect.fail(unreachable) : yield* answerFromRow(request, row.value);
    });

/** Makes a peer for one call to an owner that is listed by the platform but isn't among this instance's peers. */
function makeTemporaryPeer(context: Context, instance: string): Peer | undefined {
    const listedInstance = context.instances.read().entries.find(entry => entry.instance === instance);
    return listedInstance === undefined || instance === context.settings.instance
        ? undefined
        : makePeer(context, listedInstance);
}

/** Runs an operation locally when this incarnation owns its id, and otherwise on the owner named by the id. */
export function runOwnedOperation(
    context: Context,
    request: SteeringRequest,
    text: string,
    run: () => Effect.Effect<Answer, SteeringError>
): Effect.Effect<Answer, SteeringError> {
    return Effect.gen(function*() {
        const parsedId = parseOperationId(text);
        if (parsedId.isLeft()) {
            return yield* Effect.fail(parsedId.extract() as SteeringError);
        }
        const id = parsedId.extract() as OperationId;
        if (id.instance === context.settings.instance && id.incarnation === context.incarnation) {
            if (context.shutdown.read() && !context.journal.has(text)) {
                return yield* Effect.fail(steeringError("shuttingDown"));
            }
            return yield* runLocally(context, request, text, id, run);
        }
        if (request.forwarded) {
            return yield* Effect.fail(steeringError("ownerUnreachable", "this incarnation is not the owner"));
        }
        const peer = context.peers.get(id.instance);
        if (peer !== undefined && (peer.incarnation !== id.incarnation || peer.failing)) {
            return yield* resolveWithoutOwner(context, request, text, id, run);
        }
        const owner = peer ?? makeTemporaryPeer(context, id.instance);
        if (owner === undefined) {
            return yield* resolveWithoutOwner(context, request, text, id, run);
        }
        const result = yield* Effect.result(
            Effect.ensuring(forwardOperation(owner, request), Effect.sync(() => peer ?? owner.close()))
        );
        if (Result.isSuccess(result)) {
            return result.success;
        }
        const { kind, detail } = result.failure;
        return detail.startsWith("peer: ")
            ? yield* resolveWithoutOwner(context, request, text, id, run)
            : yield* Effect.fail(steeringError(kind, detail));
    });
}

/** Runs an operation under a caller's idempotency key; a conditional insert decides which instance runs it. */
export function runKeyedOperation(
    context: Context,
    request: SteeringRequest,
    key: string,
    run: () => Effect.Effect<Answer, SteeringError>
): Effect.Effect<Answer, SteeringError> {
    return Effect.gen(function*() {
        const digest = createHash("sha256").update(key).digest("base64url");
        const text = `key/${request.service}/${digest}`;
        const row = yield* Effect.mapError(
            context.platform.readRow(operationRowKey(text)),
            () => steeringError("platformDown", "the key cannot be looked up")
        );
        if (row !== undefined && decodeOperationRow(row.value)?.state !== "notRun") {
            return yield* answerFromRow(request, row.value);
        }
        return yield* insertRowAndRun(context, request, text, row?.version ?? 0, run);
    });
}
