import {
    type ErrorKind,
    type HeldSlot,
    mayWait,
    parseErrorKind,
    type SteeringError,
    steeringError,
    type WaitOutcome
} from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import type { Context, ServiceState } from "./Context";
import { forwardRequest } from "./ForwardRequest";
import { enter, mayEnter } from "./Inflow";
import { mayCross } from "./Links";
import type { Peer } from "./Peer";
import { usualServiceMillis } from "./ServiceTimes";
import type { Answer, SteeringRequest } from "./SteeringRequest";

/** Where a request found its place: an own slot, or a peer that already ran it. */
export type Placement =
    | { readonly kind: "slot"; readonly slot: HeldSlot; }
    | { readonly kind: "answered"; readonly answer: Answer; readonly waitedMillis: number; };

/** How far peers may be. */
type Reach = "region" | "otherRegions";

/** Whether any attempt at a request so far may have run. */
export interface Doubt {
    mayHaveRun: boolean;
}

const regionPeersTried = 3;
const farPeersTried = 1;
const idleShare = 0.2;
const inflowPollMillis = 20;
const longestInflowWaitMillis = 1_000;

function refuse(kind: ErrorKind, detail: string): Effect.Effect<never, SteeringError> {
    return Effect.fail(steeringError(kind, detail));
}

function distance(context: Context, peer: Peer): number {
    if (peer.failureDomain === context.settings.failureDomain) {
        return 0;
    }
    return peer.region === context.settings.region ? 1 : 2;
}

/** Requests from a region that a peer said it could begin at once. */
function freeFor(peer: Peer, service: string, sourceRegion: string): number {
    const load = peer.loads.get(service);
    if (load === undefined) {
        return 0;
    }
    return peer.region === sourceRegion ? load.freeSlots : Math.min(load.freeSlots, load.freeInflow);
}

/**
 * Peers that may have a free slot, nearest first. What they last said is old by up to a heartbeat, so the region's
 * peers that said they were full come too, after the others; a budget bounds the calls in vain.
 */
export function peersToTry(context: Context, service: string, sourceRegion: string, reach: Reach): readonly Peer[] {
    const free = (peer: Peer) => freeFor(peer, service, sourceRegion);
    const usable = [...context.peers.values()].filter(peer =>
        !peer.leaving && !peer.failing && (peer.loads.get(service)?.ownedSlots ?? 0) > 0
    );
    // What a far peer said is the oldest: one slot that was free then is none now.
    const isFarAndIdle = (peer: Peer) =>
        distance(context, peer) === 2 && free(peer) > idleShare * (peer.loads.get(service)?.ownedSlots ?? 0);
    const order = (left: Peer, right: Peer) =>
        Number(free(right) > 0) - Number(free(left) > 0)
        || distance(context, left) - distance(context, right)
        || free(right) - free(left);
    return reach === "region"
        ? usable.filter(peer => distance(context, peer) < 2).sort(order).slice(0, regionPeersTried)
        : usable.filter(isFarAndIdle).sort(order).slice(0, farPeersTried);
}

function waitForSlot(
    service: ServiceState,
    excluded: ReadonlySet<string>,
    arrivedAtMillis: number
): Effect.Effect<WaitOutcome> {
    return Effect.callback<WaitOutcome>(resume => {
        const leave = service.pool.wait(excluded, arrivedAtMillis, outcome => resume(Effect.succeed(outcome)));
        return Effect.sync(leave);
    });
}

/** Tries the nearest peers with free slots; undefined when none took the request. */
const tryPeers = (
    context: Context,
    service: ServiceState,
    request: SteeringRequest,
    tried: Set<string>,
    doubt: Doubt,
    arrivedAtMillis: number,
    reach: Reach
) => Effect.gen(function*() {
    const peers = peersToTry(context, service.service, request.sourceRegion, reach)
        .filter(peer => !tried.has(peer.instance));
    for (const peer of peers) {
        tried.add(peer.instance);
        const load = peer.loads.get(service.service);
        const saidFree = load !== undefined && freeFor(peer, service.service, request.sourceRegion) > 0;
        // What a near peer said is young and asking costs little; a far one's answer in vain keeps a refusal waiting.
        const budget = reach === "otherRegions" ? service.farTries : saidFree ? undefined : service.tries;
        if (budget !== undefined && !budget.trySpend(monotonicMillis())) {
            continue;
        }
        if (!mayCross(context, service, peer, request)) {
            continue;
        }
        if (saidFree) {
            load.freeSlots -= 1;
        }
        context.metrics.count("forwards", { service: service.service });
        const sentAtMillis = monotonicMillis();
        const result = yield* Effect.result(forwardRequest(peer, request));
        if (Result.isSuccess(result)) {
            budget?.refund();
            return { answer: result.success, waitedMillis: sentAtMillis - arrivedAtMillis };
        }
        doubt.mayHaveRun ||= result.failure.ran !== "no";
        const mayGoOn = result.failure.ran === "no" || (request.idempotent && service.retries.trySpend());
        if (!mayGoOn) {
            return yield* Effect.fail(steeringError(parseErrorKind(result.failure.kind), result.failure.detail));
        }
    }
    return undefined;
});

/**
 * Finds a place for a request: an own slot, a free slot of a peer, or a wait for the first of either.
 * Fails as not run where none will be free in time.
 */
export function placeRequest(
    context: Context,
    service: ServiceState,
    request: SteeringRequest,
    excluded: ReadonlySet<string>,
    doubt: Doubt
): Effect.Effect<Placement, SteeringError> {
    return Effect.gen(function*() {
        const tried = new Set<string>();
        let admitted = false;
        const arrivedAtMillis = monotonicMillis();
        const mayProbe = request.idempotent && !request.forwarded;
        for (;;) {
            const mayUseOwn = mayEnter(context, service, request);
            const slot = mayUseOwn ? service.pool.tryAcquire(excluded, { mayProbe, lastResort: false }) : undefined;
            if (slot !== undefined) {
                enter(context, service, request);
                context.metrics.timing("queue_wait_millis", monotonicMillis() - arrivedAtMillis, {
                    service: service.service
                });
                return { kind: "slot", slot };
            }
            if (request.forwarded) {
                return yield* refuse("overloaded", "no free slot");
            }
            const near = yield* tryPeers(context, service, request, tried, doubt, arrivedAtMillis, "region");
            if (near !== undefined) {
                return { kind: "answered", ...near };
            }
            // A short wait at home is better than the way to another region and its cold caches.
            const mayWaitHere = mayUseOwn && (admitted || isWaitWorthwhile(context, service, request));
            const far = mayWaitHere
                ? undefined
                : yield* tryPeers(context, service, request, tried, doubt, arrivedAtMillis, "otherRegions");
            if (far !== undefined) {
                return { kind: "answered", ...far };
            }
            if (!mayUseOwn) {
                yield* waitForInflow(service, request, arrivedAtMillis);
                tried.clear();
                continue;
            }
            const placed = mayWaitHere
                ? yield* waitInQueue(service, request, excluded, arrivedAtMillis)
                : yield* takeLastResort(service, excluded);
            admitted = true;
            if (placed.kind === "slot") {
                if (!enter(context, service, request)) {
                    placed.slot.release();
                    return yield* refuse("capReached", "");
                }
                context.metrics.timing("queue_wait_millis", monotonicMillis() - arrivedAtMillis, {
                    service: service.service
                });
                return placed;
            }
            tried.clear();
        }
    });
}

/**
 * Waits a moment for the window of the cap to move on, so that what the cap allows is used; refuses a request that
 * waited long enough, or that would wait behind too many others.
 */
function waitForInflow(
    service: ServiceState,
    request: SteeringRequest,
    arrivedAtMillis: number
): Effect.Effect<void, SteeringError> {
    const share = service.inflowShare.current ?? 0;
    const nowMillis = monotonicMillis();
    const remainingMillis = request.deadlineAtMillis - nowMillis;
    const waitedMillis = nowMillis - arrivedAtMillis;
    const tooLong = waitedMillis > longestInflowWaitMillis || remainingMillis < waitedMillis;
    if (service.inflowWaiting.count >= share || tooLong) {
        return refuse("capReached", "");
    }
    service.inflowWaiting.count += 1;
    const leave = Effect.sync(() => {
        service.inflowWaiting.count -= 1;
    });
    return Effect.ensuring(Effect.sleep(inflowPollMillis * (0.5 + Math.random())), leave);
}

function isWaitWorthwhile(context: Context, service: ServiceState, request: SteeringRequest): boolean {
    const load = {
        waiting: service.pool.waiting(),
        usableSlots: service.pool.usableSlots() - service.pool.setAsideSlots(),
        serviceMillis: usualServiceMillis(context, service)
    };
    return mayWait(load, request.definition.queueWaitMillis, request.deadlineAtMillis - monotonicMillis());
}

/** A slow server's slot is better than none. */
function takeLastResort(service: ServiceState, excluded: ReadonlySet<string>): Effect.Effect<Placement, SteeringError> {
    const slot = service.pool.tryAcquire(excluded, { mayProbe: false, lastResort: true });
    return slot === undefined
        ? refuse("overloaded", "no slot will be free in time")
        : Effect.succeed({ kind: "slot", slot });
}

function waitInQueue(
    service: ServiceState,
    request: SteeringRequest,
    excluded: ReadonlySet<string>,
    arrivedAtMillis: number
): Effect.Effect<Exclude<WaitOutcome, { kind: "closed"; }>, SteeringError> {
    return Effect.gen(function*() {
        const remainingMillis = request.deadlineAtMillis - monotonicMillis();
        const outcome = yield* Effect.timeoutOrElse(waitForSlot(service, excluded, arrivedAtMillis), {
            duration: Math.max(1, remainingMillis),
            orElse: () => refuse("deadlineBeforeRun", "")
        });
        return outcome.kind === "closed" ? yield* refuse("shuttingDown", "") : outcome;
    });
}
