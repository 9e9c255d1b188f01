import {
    errorAnswers,
    type HeldSlot,
    isMostlyLate,
    noteInTime,
    noteLate,
    type SteeringError,
    steeringError
} from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import type { Context, ServiceState } from "./Context";
import { type DispatchFailure, type DispatchOptions, type DispatchResult, startDispatch } from "./DispatchRequest";
import { enter } from "./Inflow";
import { noteAnswerBytes } from "./Links";
import { type Doubt, placeRequest } from "./PlaceRequest";
import { clearRequest, isQuarantined, runGuarded, strikeRequest } from "./Poison";
import { hedgeAfterMillis, lateAfterMillis, maySetAside } from "./ServiceTimes";
import { type Answer, type SteeringRequest, waitHeader } from "./SteeringRequest";

const unreachableMillis = 1_000;
const shortestRefusalMillis = 50;
const attemptsAtMost = 3;

function dispatchOptions(
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
        lateAfterMillis: lateAfterMillis(context, service),
        onLate: onReusedConnection => {
            const wasAside = health.setAside;
            const nowMillis = monotonicMillis();
            const allowed = maySetAside(context, service, usableSlots);
            noteLate(health, nowMillis, () => allowed);
            context.recordStep?.(service.service, { step: "late", atMillis: nowMillis, server, maySetAside: allowed });
            if (health.setAside && !wasAside) {
                context.timeLine.emit({ kind: "serverSetAside", server });
            }
            // The connection may have gone silent, and with it every other one that waits for use.
            if (onReusedConnection) {
                context.connections.dropIdle(server);
            }
        },
        // A server that is late throughout may be silent on this connection only: the retry is paid for here.
        mayAbandon: () => idempotent && isMostlyLate(health) && service.retries.trySpend(),
        onAnswer: (tookMillis, wasLate) => {
            const nowMillis = monotonicMillis();
            service.answerTimes.record(tookMillis, nowMillis);
            context.recordStep?.(service.service, {
                step: "answer",
                atMillis: nowMillis,
                server,
                tookMillis,
                late: wasLate
            });
            if (!wasLate) {
                const wasAside = health.setAside;
                noteInTime(health, nowMillis);
                if (wasAside && !health.setAside) {
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
        const options = dispatchOptions(context, service, slot, request.idempotent);
        const cancel = startDispatch(options, request, slot, result => resume(Effect.succeed(result)));
        return Effect.sync(cancel);
    });
}

/** A second server for a request that is slow: only a free slot, only where nothing waits, only within the budget. */
function hedgeSlot(
    context: Context,
    service: ServiceState,
    request: SteeringRequest,
    excluded: ReadonlySet<string>
): HeldSlot | undefined {
    if (service.pool.waiting() > 0) {
        return undefined;
    }
    const slot = service.pool.tryAcquire(excluded);
    // A second server is a second request to the region: it counts against the cap like the first.
    if (slot !== undefined && !(service.hedges.trySpend() && enter(context, service, request))) {
        slot.release();
        return undefined;
    }
    return slot;
}

/** Of two failures the one after which the request may have run. */
function moreDoubtful(first: DispatchResult, second: DispatchResult): DispatchResult {
    return Result.isFailure(first) && first.failure.ran === "no" ? second : first;
}

/** Runs an idempotent request on one server and, where that is slow, on a second; the loser is cancelled. */
function dispatchHedged(
    context: Context,
    service: ServiceState,
    request: SteeringRequest,
    slot: HeldSlot,
    excluded: ReadonlySet<string>
): Effect.Effect<DispatchResult> {
    const afterMillis = request.idempotent ? hedgeAfterMillis(context, service) : undefined;
    if (afterMillis === undefined) {
        return dispatchOnce(context, service, request, slot);
    }
    return Effect.callback<DispatchResult>(resume => {
        let cancelSecond: (() => void) | undefined;
        let firstFailure: DispatchResult | undefined;
        const options = dispatchOptions(context, service, slot, true);
        const cancelFirst = startDispatch(options, request, slot, result => {
            clearTimeout(timer);
            if (Result.isFailure(result) && cancelSecond !== undefined) {
                // The second server may still answer.
                firstFailure = result;
                return;
            }
            cancelSecond?.();
            resume(Effect.succeed(result));
        });
        const startSecond = () => {
            const second = hedgeSlot(context, service, request, new Set([...excluded, slot.owned.server]));
            if (second === undefined) {
                return;
            }
            context.metrics.count("hedges", { service: service.service });
            const secondOptions = dispatchOptions(context, service, second, true);
            cancelSecond = startDispatch(secondOptions, request, second, result => {
                cancelSecond = undefined;
                if (Result.isSuccess(result)) {
                    cancelFirst();
                    resume(Effect.succeed(result));
                }
                else if (firstFailure !== undefined) {
                    resume(Effect.succeed(moreDoubtful(firstFailure, result)));
                }
            });
        };
        const timer = setTimeout(startSecond, afterMillis);
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
        const { server } = slot.owned;
        return Result.fail({ kind: "quarantined", reason: "refused", server, ran: "no", retryAfterMillis: 0 });
    });
}

function passOver(context: Context, service: ServiceState, failure: DispatchFailure): void {
    const owned = service.pool.servers().find(each => each.server === failure.server);
    if (owned === undefined) {
        return;
    }
    const nowMillis = monotonicMillis();
    if (failure.reason === "unreachable") {
        owned.unreachableUntilMillis = nowMillis + unreachableMillis;
    }
    if (failure.reason === "refused") {
        const pauseMillis = Math.min(unreachableMillis, Math.max(shortestRefusalMillis, failure.retryAfterMillis));
        owned.unreachableUntilMillis = nowMillis + pauseMillis;
    }
    const untilMillis = owned.unreachableUntilMillis;
    context.recordStep?.(service.service, {
        step: "unreachable",
        atMillis: nowMillis,
        server: owned.server,
        untilMillis
    });
}

/** A retry goes to another server where there is one; after a silent connection the same server will do. */
function excludeFailed(service: ServiceState, excluded: Set<string>, failure: DispatchFailure): void {
    if (failure.reason !== "silent") {
        excluded.add(failure.server);
    }
    if (service.pool.servers().every(owned => excluded.has(owned.server))) {
        excluded.clear();
    }
}

function mayRetry(service: ServiceState, request: SteeringRequest, failure: DispatchFailure): boolean {
    if (failure.reason === "silent") {
        return true;
    }
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

/** Tells the caller how long its request waited for a slot. */
function withWait(request: SteeringRequest, answer: Answer, waitedMillis: number): Answer {
    return request.forwarded
        ? answer
        : { ...answer, headers: [...answer.headers, [waitHeader, waitedMillis.toFixed(1)]] };
}

/** Runs a request on a backend server, its own or a peer's; a retry goes to another server. */
export function runRequest(
    context: Context,
    service: ServiceState,
    request: SteeringRequest
): Effect.Effect<Answer, SteeringError> {
    return Effect.gen(function*() {
        const arrivedAtMillis = monotonicMillis();
        const excluded = new Set<string>();
        const doubt: Doubt = { mayHaveRun: false };
        service.retries.earn();
        service.hedges.earn();
        for (let attempt = 1;; attempt += 1) {
            if (isQuarantined(context, request)) {
                return yield* withDoubt(doubt, Effect.fail(steeringError("quarantined")));
            }
            const placement = yield* withDoubt(doubt, placeRequest(context, service, request, excluded, doubt));
            if (placement.kind === "answered") {
                return withWait(request, placement.answer, placement.waitedMillis);
            }
            const waitedMillis = monotonicMillis() - arrivedAtMillis;
            let ranApart = false;
            const result = yield* runGuarded(context, service, request, {
                freely: dispatchHedged(context, service, request, placement.slot, excluded),
                apart: Effect.suspend(() => {
                    ranApart = true;
                    return dispatchOnce(context, service, request, placement.slot);
                }),
                refused: refuseQuarantined(placement.slot)
            });
            if (Result.isSuccess(result)) {
                clearRequest(context, request);
                noteAnswerBytes(service, result.success.body.length);
                return withWait(request, result.success, waitedMillis);
            }
            const failure = result.failure;
            passOver(context, service, failure);
            doubt.mayHaveRun ||= failure.ran !== "no";
            if (failure.reason === "cut") {
                strikeRequest(context, request, failure.server, ranApart);
            }
            if (attempt >= attemptsAtMost || !mayRetry(service, request, failure)) {
                const detail = `server ${failure.server}: ${failure.reason}`;
                return yield* withDoubt(doubt, Effect.fail(steeringError(failure.kind, detail)));
            }
            context.metrics.count("retries", { service: service.service });
            excludeFailed(service, excluded, failure);
        }
    });
}
