import {
    errorAnswers,
    type OperationId,
    type OperationOutcome,
    parseOperationId,
    type SteeringError,
    steeringError
} from "@endivebridge/core";
import type { PlatformFailure } from "@endivebridge/platform";
import { Deferred, Effect, Result } from "effect";
import { createHash } from "node:crypto";
import type { Context } from "./Context";
import { forwardOperation } from "./ForwardRequest";
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
            return yield* runHere(context, request, text, id, run);
        }
        const peer = context.peers.get(id.instance);
        const reachable = peer !== undefined && peer.incarnation === id.incarnation;
        if (!reachable || request.forwarded) {
            return yield* Effect.fail(steeringError("ownerUnreachable", `${id.instance} ${id.incarnation}`));
        }
        const result = yield* Effect.result(forwardOperation(peer, request));
        if (Result.isSuccess(result)) {
            return result.success;
        }
        const { kind, detail } = result.failure;
        return yield* Effect.fail(
            detail.startsWith("peer: ") ? steeringError("ownerUnreachable", detail) : steeringError(kind, detail)
        );
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
        const row = `operation/key/${request.service}/${digest}`;
        const fingerprint = requestFingerprint(request);
        const begun = { fingerprint, instance: context.settings.instance, incarnation: context.incarnation };
        const inserted = yield* Effect.result(context.platform.writeRow(row, 0, begun));
        if (Result.isFailure(inserted)) {
            return yield* keyedElsewhere(inserted.failure, fingerprint);
        }
        const result = yield* Effect.result(run());
        const outcome = toOutcome(result);
        const stored = outcome.kind === "answer"
            ? {
                ...begun,
                status: outcome.answer.status,
                headers: outcome.answer.headers,
                body: outcome.answer.body.toString("base64")
            }
            : { ...begun, error: outcome.error.kind };
        context.fork(Effect.ignore(context.platform.writeRow(row, inserted.success.version, stored)));
        return yield* outcomeEffect(outcome);
    });
}

interface KeyedRow {
    readonly fingerprint: string;
    readonly status?: number;
    readonly headers?: readonly (readonly [string, string])[];
    readonly body?: string;
    readonly error?: string;
}

function keyedElsewhere(
    failure: PlatformFailure,
    fingerprint: string
): Effect.Effect<Answer, SteeringError> {
    if (failure.kind !== "conflict" || failure.row === undefined) {
        return Effect.fail(steeringError("platformDown", "the key could not be recorded"));
    }
    const row = failure.row.value as KeyedRow;
    if (row.fingerprint !== fingerprint) {
        return Effect.fail(steeringError("operationMismatch"));
    }
    if (row.status !== undefined) {
        return Effect.succeed({
            status: row.status,
            headers: row.headers ?? [],
            body: Buffer.from(row.body ?? "", "base64"),
            rest: undefined,
            server: ""
        });
    }
    return Effect.fail(steeringError("serverFailed", "the first request under this key has no known outcome"));
}
