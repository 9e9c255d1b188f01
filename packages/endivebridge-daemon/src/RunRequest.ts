import {
    errorAnswers,
    type HeldSlot,
    isMostlyLate,
    recordLateAnswer,
    recordTimelyAnswer,
    type SteeringError,
    steeringError
} from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import type { Context, ServiceState } from "./Context";
import { type DispatchFailure, type DispatchOptions, type DispatchResult, startDispatch } from "./DispatchRequest";
import { tryCountInflow } from "./Inflow";
import { recordAnswerBytes } from "./Links";
import { placeRequest, type RunUncertainty } from "./PlaceRequest";
import { clearSuspicion, isQuarantined, recordServerCrash, runIsolatingSuspects } from "./Poison";
import { recordConnection } from "./Reachability";
import { computeHedgeDelayMillis, computeLateThresholdMillis, maySetAside } from "./ServiceTimes";
import { type Answer, type SteeringRequest, waitMillisHeader } from "./SteeringRequest";

const unreachablePauseMillis = 1_000;
const minRefusalPauseMillis = 50;
const maxAttempts = 3;

function makeDispatchOptions(
    context: Context,
    service: ServiceState,
    slot: HeldSlot,
    idempotent: boolean
): DispatchOptions {
    const { health, server, usableSlots } = slot.owned;
    return {
        connections: context.connections,
        heldAnswerBytes: context.settings.limits.heldAnswerBytes,
        cancelHoldMillis: context.settings.timing.cancelHoldMillis,
        lateThresholdMillis: computeLateThresholdMillis(context, service),
        onLate: isReusedConnection => {
            const wasSetAside = health.setAside;
            const nowMillis = monotonicMillis();
            const canSetAside = maySetAside(context, service, usableSlots);
            recordLateAnswer(health, nowMillis, () => canSetAside);
            context.logDecisionStep?.(service.service, {
                step: "late",
                atMillis: nowMillis,
                server,
                maySetAside: canSetAside
            });
            if (health.setAside && !wasSetAside) {
                context.timeLine.emit({ kind: "serverSetAside", server });
            }
            // The reused connection may be dead, and the idle ones to this server with it.
            if (isReusedConnection) {
                context.connections.closeIdle(server);
            }
        },
        // A server whose answers are mostly late may be silent on this connection only. Abandoning the request leads to
        // a retry, which is charged here because shouldRetry charges nothing after a silent connection.
        canAbandon: () => idempotent && isMostlyLate(health) && service.retries.trySpend(),
        onConnection: isOpen => recordConnection(context, service.service, server, isOpen),
        onAnswer: (tookMillis, isLate) => {
            const nowMillis = monotonicMillis();
            service.answerTimeQuantiles.record(tookMillis, nowMillis);
            context.logDecisionStep?.(service.service, {
                step: "answer",
                atMillis: nowMillis,
                server,
                tookMillis,
                late: isLate
            });
            if (!isLate) {
                const wasSetAside = health.setAside;
                recordTimelyAnswer(health, nowMillis);
                if (wasSetAside && !health.setAside) {
                    context.timeLine.emit({ kind: "serverLetBack", server });
                }
            }
        }
    };
}

function dispatchOnce(
    context: Context,
    service: ServiceState,
    request: SteeringRequest,
    slot: HeldSlot
): Effect.Effect<DispatchResult> {
    return Effect.callback<DispatchResult>(resume => {
        const options = makeDispatchOptions(context, service, slot, request.idempotent);
        const cancel = startDispatch(options, request, slot, result => resume(Effect.succeed(result)));
        return Effect.sync(cancel);
    });
}

/**
 * Acquires a slot on a second server for a slow request: only a slot that is free at once, only while no request is
 * queued, and only within the hedge budget.
 */
function acquireHedgeSlot(
    context: Context,
    service: ServiceState,
    request: SteeringRequest,
    excluded: ReadonlySet<string>
): HeldSlot | undefined {
    if (service.pool.waiting() > 0) {
        return undefined;
    }
    const slot = service.pool.tryAcquire(excluded);
    // A hedge is another request to this region and counts against its inflow cap like the first.
    if (slot !== undefined && !(service.hedges.trySpend() && tryCountInflow(context, service, request))) {
        slot.release();
        return undefined;
    }
    return slot;
}

/** Prefers the failure after which the request may have run. */
function selectPossiblyRunFailure(first: DispatchResult, second: DispatchResult): DispatchResult {
    return Result.isFailure(first) && first.failure.ran === "no" ? second : first;
}

/** Dispatches a request; an idempotent one that is slow is hedged on a second server. The slower run is cancelled. */
function dispatchHedged(
    context: Context,
    service: ServiceState,
    request: SteeringRequest,
    slot: HeldSlot,
    excluded: ReadonlySet<string>
): Effect.Effect<DispatchResult> {
    const hedgeDelayMillis = request.idempotent ? computeHedgeDelayMillis(context, service) : undefined;
    if (hedgeDelayMillis === undefined) {
        return dispatchOnce(context, service, request, slot);
    }
    return Effect.callback<DispatchResult>(resume => {
        let cancelSecond: (() => void) | undefined;
        let firstFailure: DispatchResult | undefined;
        const options = makeDispatchOptions(context, service, slot, true);
        const cancelFirst = startDispatch(options, request, slot, result => {
            clearTimeout(timer);
            if (Result.isFailure(result) && cancelSecond !== undefined) {
                // Waits for the second server, which may still answer.
                firstFailure = result;
                return;
            }
            cancelSecond?.();
            resume(Effect.succeed(result));
        });
        const startSecondDispatch = () => {
            const second = acquireHedgeSlot(context, service, request, new Set([...excluded, slot.owned.server]));
            if (second === undefined) {
                return;
            }
            context.metrics.count("hedges", { service: service.service });
            const secondOptions = makeDispatchOptions(context, service, second, true);
            cancelSecond = startDispatch(secondOptions, request, second, result => {
                cancelSecond = undefined;
                if (Result.isSuccess(result)) {
                    cancelFirst();
                    resume(Effect.succeed(result));
                }
                else if (firstFailure !== undefined) {
                    resume(Effect.succeed(selectPossiblyRunFailure(firstFailure, result)));
                }
            });
        };
        const timer = setTimeout(startSecondDispatch, hedgeDelayMillis);
        return Effect.sync(() => {
            clearTimeout(timer);
            cancelFirst();
            cancelSecond?.();
        });
    });
}

function refuseQuarantined(slot: HeldSlot): Effect.Effect<DispatchResult> {
    return Effect.sync(() => {
        slot.release();
        const { server, address } = slot.owned;
        return Result.fail({ kind: "quarantined", reason: "refused", server, address, ran: "no", retryAfterMillis: 0 });
    });
}

function pauseFailedServer(context: Context, service: ServiceState, failure: DispatchFailure): void {
    const owned = service.pool.servers().find(candidate => candidate.server === failure.server);
    if (owned === undefined) {
        return;
    }
    const nowMillis = monotonicMillis();
    if (failure.reason === "unreachable") {
        owned.unreachableUntilMillis = nowMillis + unreachablePauseMillis;
    }
    if (failure.reason === "refused") {
        const pauseMillis = Math.min(unreachablePauseMillis, Math.max(minRefusalPauseMillis, failure.retryAfterMillis));
        owned.unreachableUntilMillis = nowMillis + pauseMillis;
    }
    const untilMillis = owned.unreachableUntilMillis;
    context.logDecisionStep?.(service.service, {
        step: "unreachable",
        atMillis: nowMillis,
        server: owned.server,
        untilMillis
    });
}

/**
 * Excludes the failed server from the retry, unless only its connection was silent. When every server is excluded, all
 * become eligible again.
 */
function excludeFailedServer(service: ServiceState, excluded: Set<string>, failure: DispatchFailure): void {
    if (failure.reason !== "silent") {
        excluded.add(failure.server);
    }
    if (service.pool.servers().every(owned => excluded.has(owned.server))) {
        excluded.clear();
    }
}

function shouldRetry(service: ServiceState, request: SteeringRequest, failure: DispatchFailure): boolean {
    if (failure.reason === "silent") {
        return true;
    }
    const isSafeToRetry = failure.ran === "no" || request.idempotent;
    return isSafeToRetry && failure.reason !== "deadline" && failure.reason !== "tooLarge"
        && service.retries.trySpend();
}

/** Replaces an error that reports "not run" when an earlier attempt at the request may have run. */
function withRunUncertainty<Value>(
    doubt: RunUncertainty,
    effect: Effect.Effect<Value, SteeringError>
): Effect.Effect<Value, SteeringError> {
    return Effect.mapError(effect, error => {
        const reportsNotRun = errorAnswers[error.kind].ran === "no";
        return doubt.mayHaveRun && reportsNotRun ? steeringError("serverFailed", `then ${error.kind}`) : error;
    });
}

/** Adds the time that the request waited for a slot as a header; a peer that forwarded the request adds its own. */
function withWaitHeader(request: SteeringRequest, answer: Answer, waitedMillis: number): Answer {
    return request.forwarded
        ? answer
        : { ...answer, headers: [...answer.headers, [waitMillisHeader, waitedMillis.toFixed(1)]] };
}

/** Runs a request on a backend server of this instance or of a peer, and retries on another server where possible. */
export function runRequest(
    context: Context,
    service: ServiceState,
    request: SteeringRequest
): Effect.Effect<Answer, SteeringError> {
    return Effect.gen(function*() {
        const arrivedAtMillis = monotonicMillis();
        const excluded = new Set<string>();
        const doubt: RunUncertainty = { mayHaveRun: false };
        service.retries.addRequest();
        service.hedges.addRequest();
        for (let attempt = 1;; attempt += 1) {
            if (isQuarantined(context, request)) {
                return yield* withRunUncertainty(doubt, Effect.fail(steeringError("quarantined")));
            }
            const placement = yield* withRunUncertainty(
                doubt,
                placeRequest(context, service, request, excluded, doubt)
            );
            if (placement.kind === "answered") {
                return withWaitHeader(request, placement.answer, placement.waitedMillis);
            }
            const waitedMillis = monotonicMillis() - arrivedAtMillis;
            const sentMillis = monotonicMillis();
            let wasIsolated = false;
            const result = yield* runIsolatingSuspects(context, service, request, {
                unrestricted: dispatchHedged(context, service, request, placement.slot, excluded),
                isolated: Effect.suspend(() => {
                    wasIsolated = true;
                    return dispatchOnce(context, service, request, placement.slot);
                }),
                refused: refuseQuarantined(placement.slot)
            });
            if (Result.isSuccess(result)) {
                clearSuspicion(context, request, result.success.status);
                recordAnswerBytes(service, result.success.body.length);
                return withWaitHeader(request, result.success, waitedMillis);
            }
            const failure = result.failure;
            pauseFailedServer(context, service, failure);
            doubt.mayHaveRun ||= failure.ran !== "no";
            if (failure.reason === "cut") {
                const { server, address } = failure;
                const lostMillis = monotonicMillis();
                yield* Effect.promise(() =>
                    recordServerCrash(context, request, { server, address, sentMillis, lostMillis, wasIsolated })
                );
            }
            if (attempt >= maxAttempts || !shouldRetry(service, request, failure)) {
                const detail = `server ${failure.server}: ${failure.reason}`;
                return yield* withRunUncertainty(doubt, Effect.fail(steeringError(failure.kind, detail)));
            }
            context.metrics.count("retries", { service: service.service });
            excludeFailedServer(service, excluded, failure);
        }
    });
}
