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
import { rowExpiry, runnerName } from "./JournalTask";
import {
    closedKey,
    decodeOperation,
    endedOperation,
    operationKey,
    runningOperation,
    storedOutcome
} from "./OperationRows";
import { makePeer, type Peer } from "./Peer";
import type { Answer, SteeringRequest } from "./SteeringRequest";

/** Identity of a request's content; two requests under one operation id must share it. */
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

function wasRun(outcome: OperationOutcome<Answer>): boolean {
    return outcome.kind === "answer" || errorAnswers[outcome.error.kind].ran !== "no";
}

/** Runs an operation that this incarnation owns; a resend gets the first run's outcome. */
function runHere(
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
        // The run outlives its caller: what a server began must end up in the journal.
        const task = Effect.gen(function*() {
            const outcome = toOutcome(yield* Effect.result(run()));
            entry.finish(outcome, wasRun(outcome));
            return outcome;
        });
        const guarded = Effect.catchCause(task, () =>
            Effect.sync(() => {
                const outcome: OperationOutcome<Answer> = { kind: "error", error: steeringError("internal") };
                entry.finish(outcome, true);
                return outcome;
            }));
        const done = Deferred.makeUnsafe<OperationOutcome<Answer>>();
        context.fork(Effect.flatMap(guarded, outcome => Deferred.succeed(done, outcome)));
        return yield* outcomeEffect(yield* Deferred.await(done));
    });
}

/** An operation of an incarnation that closed cleanly and that never ran there: whoever inserts its row runs it. */
const runInsteadOfOwner = (
    context: Context,
    request: SteeringRequest,
    text: string,
    version: number,
    run: () => Effect.Effect<Answer, SteeringError>
): Effect.Effect<Answer, SteeringError> =>
    Effect.gen(function*() {
        const key = operationKey(text);
        const runner = runnerName(context);
        const fingerprint = requestFingerprint(request);
        const begun = runningOperation(runner, fingerprint, rowExpiry(context));
        const inserted = yield* Effect.result(context.platform.writeRow(key, version, begun));
        if (Result.isFailure(inserted)) {
            const row = inserted.failure.kind === "conflict" ? inserted.failure.row : undefined;
            return row === undefined
                ? yield* Effect.fail(steeringError("platformDown", "the operation could not be recorded"))
                : yield* answerStored(request, row.value);
        }
        const task = Effect.gen(function*() {
            const outcome = toOutcome(yield* Effect.result(run()));
            const row = endedOperation(runner, { fingerprint, outcome }, rowExpiry(context));
            const saved = Effect.ignore(context.platform.writeRow(key, inserted.success.version, row));
            context.fork(saved);
            return outcome;
        });
        const done = Deferred.makeUnsafe<OperationOutcome<Answer>>();
        context.fork(Effect.flatMap(task, outcome => Deferred.succeed(done, outcome)));
        return yield* outcomeEffect(yield* Deferred.await(done));
    });

function answerStored(request: SteeringRequest, value: unknown): Effect.Effect<Answer, SteeringError> {
    const row = decodeOperation(value);
    if (row === undefined) {
        return Effect.fail(steeringError("ownerUnreachable", "its row cannot be read"));
    }
    if (row.fingerprint !== requestFingerprint(request)) {
        return Effect.fail(steeringError("operationMismatch"));
    }
    const outcome = storedOutcome(row);
    return outcome === undefined
        ? Effect.fail(steeringError("ownerUnreachable", "did not run, may be taken up"))
        : outcomeEffect(outcome);
}

/** Settles an operation whose owner cannot be asked, from what the owner left in the table. */
const settleWithoutOwner = (
    context: Context,
    request: SteeringRequest,
    text: string,
    id: OperationId,
    run: () => Effect.Effect<Answer, SteeringError>
): Effect.Effect<Answer, SteeringError> =>
    Effect.gen(function*() {
        const unreachable = steeringError("ownerUnreachable", `${id.instance} ${id.incarnation}`);
        const read = (key: string) => Effect.mapError(context.platform.readRow(key), () => unreachable);
        // The owner writes its operations before it says that it closed: read in the other order.
        const closed = yield* read(closedKey(id.instance, id.incarnation));
        const row = yield* read(operationKey(text));
        const mayRun = row === undefined ? closed !== undefined : decodeOperation(row.value)?.state === "notRun";
        if (mayRun) {
            return yield* runInsteadOfOwner(context, request, text, row?.version ?? 0, run);
        }
        return row === undefined ? yield* Effect.fail(unreachable) : yield* answerStored(request, row.value);
    });

/** A way to an owner that this instance does not keep in touch with, for one call. */
function reachOwner(context: Context, instance: string): Peer | undefined {
    const listed = context.instances.read().entries.find(entry => entry.instance === instance);
    return listed === undefined || instance === context.settings.instance ? undefined : makePeer(context, listed);
}

/** Runs an operation whose id names its owner, here or there. */
export function runOwnedOperation(
    context: Context,
    request: SteeringRequest,
    text: string,
    run: () => Effect.Effect<Answer, SteeringError>
): Effect.Effect<Answer, SteeringError> {
    return Effect.gen(function*() {
        const parsed = parseOperationId(text);
        if (parsed.isLeft()) {
            return yield* Effect.fail(parsed.extract() as SteeringError);
        }
        const id = parsed.extract() as OperationId;
        if (id.instance === context.settings.instance && id.incarnation === context.incarnation) {
            if (context.shutdown.read() && !context.journal.knows(text)) {
                return yield* Effect.fail(steeringError("shuttingDown"));
            }
            return yield* runHere(context, request, text, id, run);
        }
        if (request.forwarded) {
            return yield* Effect.fail(steeringError("ownerUnreachable", "this incarnation is not the owner"));
        }
        const peer = context.peers.get(id.instance);
        if (peer !== undefined && (peer.incarnation !== id.incarnation || peer.failing)) {
            return yield* settleWithoutOwner(context, request, text, id, run);
        }
        const owner = peer ?? reachOwner(context, id.instance);
        if (owner === undefined) {
            return yield* settleWithoutOwner(context, request, text, id, run);
        }
        const result = yield* Effect.result(
            Effect.ensuring(forwardOperation(owner, request), Effect.sync(() => peer ?? owner.close()))
        );
        if (Result.isSuccess(result)) {
            return result.success;
        }
        const { kind, detail } = result.failure;
        return detail.startsWith("peer: ")
            ? yield* settleWithoutOwner(context, request, text, id, run)
            : yield* Effect.fail(steeringError(kind, detail));
    });
}

/** Runs an operation under a caller's own key: a conditional insert decides who runs it. */
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
            context.platform.readRow(operationKey(text)),
            () => steeringError("platformDown", "the key cannot be looked up")
        );
        if (row !== undefined && decodeOperation(row.value)?.state !== "notRun") {
            return yield* answerStored(request, row.value);
        }
        return yield* runInsteadOfOwner(context, request, text, row?.version ?? 0, run);
    });
}
