import { errorAnswers, type SteeringError, steeringError } from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import type { Context, ServiceState } from "./Context";
import { type DispatchFailure, dispatchRequest } from "./DispatchRequest";
import { runKeyedOperation, runOwnedOperation } from "./Operations";
import { type Doubt, placeRequest } from "./PlaceRequest";
import type { Answer, SteeringRequest } from "./SteeringRequest";

const setAsideMillis = 1_000;
const attemptsAtMost = 3;

function dispatchOptions(context: Context) {
    return {
        connections: context.connections,
        heldAnswerBytes: context.settings.limits.heldAnswerBytes,
        cancelHoldMillis: context.settings.timing.cancelHoldMillis
    };
}

function passOver(service: ServiceState, failure: DispatchFailure): void {
    const owned = service.pool.servers().find(each => each.server === failure.server);
    if (owned === undefined) {
        return;
    }
    const nowMillis = monotonicMillis();
    if (failure.reason === "unreachable") {
        owned.setAsideUntilMillis = nowMillis + setAsideMillis;
    }
    if (failure.reason === "refused") {
        owned.setAsideUntilMillis = nowMillis + Math.min(setAsideMillis, Math.max(50, failure.retryAfterMillis));
    }
}

function mayRetry(service: ServiceState, request: SteeringRequest, failure: DispatchFailure): boolean {
    const safe = failure.ran === "no" || request.idempotent;
    return safe && failure.reason !== "deadline" && failure.reason !== "tooLarge" && service.retries.trySpend();
}

/** Never says "not run" of a request of which an earlier attempt may have run. */
function withDoubt<Value>(
    doubt: Doubt,
    effect: Effect.Effect<Value, SteeringError>
): Effect.Effect<Value, SteeringError> {
    return Effect.mapError(effect, error => {
        const saysNotRun = errorAnswers[error.kind].ran === "no";
        return doubt.mayHaveRun && saysNotRun ? steeringError("serverFailed", `then ${error.kind}`) : error;
    });
}

/** Runs a request on a backend server, its own or a peer's; a retry goes to another server. */
export function runRequest(
    context: Context,
    service: ServiceState,
    request: SteeringRequest
): Effect.Effect<Answer, SteeringError> {
    return Effect.gen(function*() {
        const excluded = new Set<string>();
        const doubt: Doubt = { mayHaveRun: false };
        service.retries.earn();
        service.hedges.earn();
        for (let attempt = 1;; attempt += 1) {
            const placement = yield* withDoubt(doubt, placeRequest(context, service, request, excluded, doubt));
            if (placement.kind === "answered") {
                return placement.answer;
            }
            const result = yield* Effect.result(dispatchRequest(dispatchOptions(context), request, placement.slot));
            if (Result.isSuccess(result)) {
                return result.success;
            }
            const failure = result.failure;
            passOver(service, failure);
            doubt.mayHaveRun ||= failure.ran !== "no";
            if (attempt >= attemptsAtMost || !mayRetry(service, request, failure)) {
                const detail = `server ${failure.server}: ${failure.reason}`;
                return yield* withDoubt(doubt, Effect.fail(steeringError(failure.kind, detail)));
            }
            context.metrics.count("retries", { service: service.service });
            excluded.add(failure.server);
        }
    });
}

/** Serves one request of a caller: idempotent ones run at once, others through the memory of operations. */
export function serveRequest(context: Context, request: SteeringRequest): Effect.Effect<Answer, SteeringError> {
    const service = context.services.get(request.service);
    if (service === undefined) {
        return Effect.fail(steeringError("noServers", request.service));
    }
    if (request.idempotent) {
        return runRequest(context, service, request);
    }
    if (request.operation !== undefined) {
        return runOwnedOperation(context, request, request.operation, () => runRequest(context, service, request));
    }
    if (request.idempotencyKey !== undefined) {
        return runKeyedOperation(context, request, request.idempotencyKey, () => runRequest(context, service, request));
    }
    return Effect.fail(steeringError("operationRequired"));
}
