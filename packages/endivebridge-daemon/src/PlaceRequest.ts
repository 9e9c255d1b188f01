import {
    canQueue,
    type ErrorKind,
    type HeldSlot,
    parseErrorKind,
    type SteeringError,
    steeringError,
    type WaitOutcome
} from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import type { Context, ServiceState } from "./Context";
import { forwardRequest } from "./ForwardRequest";
import { isWithinInflowCap, tryCountInflow } from "./Inflow";
import { tryChargeLinks } from "./Links";
import type { Peer } from "./Peer";
import { typicalServiceMillis } from "./ServiceTimes";
import type { Answer, SteeringRequest } from "./SteeringRequest";

/** Result of placing a request: a slot of this instance, or the answer of a peer that ran it. */
export type Placement =
    | { readonly kind: "slot"; readonly slot: HeldSlot; }
    | { readonly kind: "answered"; readonly answer: Answer; readonly waitedMillis: number; };

/** Peers to consider: those of the own region or those of other regions. */
type PeerScope = "region" | "otherRegions";

/** Whether any earlier attempt at a request may have run on a backend server. */
export interface RunUncertainty {
    mayHaveRun: boolean;
}

const maxRegionPeers = 3;
const maxRemotePeers = 1;
const minFreeShare = 0.2;
const inflowPollIntervalMillis = 20;
const maxInflowWaitMillis = 1_000;

function refuse(kind: ErrorKind, detail: string): Effect.Effect<never, SteeringError> {
    return Effect.fail(steeringError(kind, detail));
}

function distanceRank(context: Context, peer: Peer): number {
    if (peer.failureDomain === context.settings.failureDomain) {
        return 0;
    }
    return peer.region === context.settings.region ? 1 : 2;
}

/** Requests from `sourceRegion` that a peer could start at once, by its last load report and its inflow cap. */
function advertisedFreeSlots(peer: Peer, service: string, sourceRegion: string): number {
    const load = peer.loads.get(service);
    if (load === undefined) {
        return 0;
    }
    return peer.region === sourceRegion ? load.freeSlots : Math.min(load.freeSlots, load.freeInflow);
}

/**
 * Peers that may have a free slot, nearest first. Load reports are up to one heartbeat interval old, so peers of the
 * region that reported no free slot are included after the others; a budget limits calls to such peers.
 */
export function selectForwardPeers(
    context: Context,
    service: string,
    sourceRegion: string,
    scope: PeerScope
): readonly Peer[] {
    const freeSlotsOf = (peer: Peer) => advertisedFreeSlots(peer, service, sourceRegion);
    const usablePeers = [...context.peers.values()].filter(peer =>
        !peer.leaving && !peer.failing && (peer.loads.get(service)?.ownedSlots ?? 0) > 0
    );
    // Reports from other regions are the oldest; a single slot that was free then is likely taken by now.
    const isRemoteWithFreeSlots = (peer: Peer) =>
        distanceRank(context, peer) === 2
        && freeSlotsOf(peer) > minFreeShare * (peer.loads.get(service)?.ownedSlots ?? 0);
    const order = (left: Peer, right: Peer) =>
        Number(freeSlotsOf(right) > 0) - Number(freeSlotsOf(left) > 0)
        || distanceRank(context, left) - distanceRank(context, right)
        || freeSlotsOf(right) - freeSlotsOf(left);
    return scope === "region"
        ? usablePeers.filter(peer => distanceRank(context, peer) < 2).sort(order).slice(0, maxRegionPeers)
        : usablePeers.filter(isRemoteWithFreeSlots).sort(order).slice(0, maxRemotePeers);
}

function waitForSlot(
    service: ServiceState,
    excluded: ReadonlySet<string>,
    arrivedAtMillis: number
): Effect.Effect<WaitOutcome> {
    return Effect.callback<WaitOutcome>(resume => {
        const leaveQueue = service.pool.wait(excluded, arrivedAtMillis, outcome => resume(Effect.succeed(outcome)));
        return Effect.sync(leaveQueue);
    });
}

/** Forwards the request to the nearest peers with free slots in turn; undefined when none accepted it. */
const tryForwarding = (
    context: Context,
    service: ServiceState,
    request: SteeringRequest,
    triedPeers: Set<string>,
    doubt: RunUncertainty,
    arrivedAtMillis: number,
    scope: PeerScope
) => Effect.gen(function*() {
    const peers = selectForwardPeers(context, service.service, request.sourceRegion, scope)
        .filter(peer => !triedPeers.has(peer.instance));
    for (const peer of peers) {
        triedPeers.add(peer.instance);
        const load = peer.loads.get(service.service);
        const hasAdvertisedSlots = load !== undefined
            && advertisedFreeSlots(peer, service.service, request.sourceRegion) > 0;
        // Reports of peers in the region are recent and a call is cheap, so only a call to a peer of the region that
        // reported no free slot is charged to a budget, busyPeerCallBudget. A refusal by a remote peer delays the
        // answer to the caller by a round trip between regions, so every such call is charged to
        // otherRegionCallBudget.
        const budget = scope === "otherRegions"
            ? service.otherRegionCallBudget
            : hasAdvertisedSlots
            ? undefined
            : service.busyPeerCallBudget;
        if (budget !== undefined && !budget.trySpend(monotonicMillis())) {
            continue;
        }
        if (!tryChargeLinks(context, service, peer, request)) {
            continue;
        }
        if (hasAdvertisedSlots) {
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
        const canTryNextPeer = result.failure.ran === "no" || (request.idempotent && service.retries.trySpend());
        if (!canTryNextPeer) {
            return yield* Effect.fail(steeringError(parseErrorKind(result.failure.kind), result.failure.detail));
        }
    }
    return undefined;
});

/**
 * Places a request on a free slot of this instance or of a peer, or queues it until a slot frees.
 * Fails with a "not run" error where no slot will be free in time.
 */
export function placeRequest(
    context: Context,
    service: ServiceState,
    request: SteeringRequest,
    excluded: ReadonlySet<string>,
    doubt: RunUncertainty
): Effect.Effect<Placement, SteeringError> {
    return Effect.gen(function*() {
        const triedPeers = new Set<string>();
        let wasQueued = false;
        const arrivedAtMillis = monotonicMillis();
        const mayProbe = request.idempotent && !request.forwarded;
        for (;;) {
            const isCutOff = context.reachability.isCutOff(service.service);
            const canUseOwnSlots = !isCutOff && isWithinInflowCap(context, service, request);
            const slot = canUseOwnSlots
                ? service.pool.tryAcquire(excluded, { mayProbe, lastResort: false })
                : undefined;
            if (slot !== undefined) {
                tryCountInflow(context, service, request);
                context.metrics.timing("queue_wait_millis", monotonicMillis() - arrivedAtMillis, {
                    service: service.service
                });
                return { kind: "slot", slot };
            }
            if (request.forwarded) {
                return yield* refuse("overloaded", "no free slot");
            }
            const regionResult = yield* tryForwarding(
                context,
                service,
                request,
                triedPeers,
                doubt,
                arrivedAtMillis,
                "region"
            );
            if (regionResult !== undefined) {
                return { kind: "answered", ...regionResult };
            }
            // A short wait in this region costs less than a round trip to another region with its cold caches.
            const shouldQueueHere = canUseOwnSlots && (wasQueued || isWaitWorthwhile(context, service, request));
            const remoteResult = shouldQueueHere
                ? undefined
                : yield* tryForwarding(context, service, request, triedPeers, doubt, arrivedAtMillis, "otherRegions");
            if (remoteResult !== undefined) {
                return { kind: "answered", ...remoteResult };
            }
            if (isCutOff) {
                return yield* refuse("noServers", "no connections to backend servers, and no free slot at peers");
            }
            if (!canUseOwnSlots) {
                yield* waitForInflow(service, request, arrivedAtMillis);
                triedPeers.clear();
                continue;
            }
            const queueResult = shouldQueueHere
                ? yield* waitInQueue(service, request, excluded, arrivedAtMillis)
                : yield* acquireLastResortSlot(service, excluded);
            wasQueued = true;
            if (queueResult.kind === "slot") {
                if (!tryCountInflow(context, service, request)) {
                    queueResult.slot.release();
                    return yield* refuse("capReached", "");
                }
                context.metrics.timing("queue_wait_millis", monotonicMillis() - arrivedAtMillis, {
                    service: service.service
                });
                return queueResult;
            }
            triedPeers.clear();
        }
    });
}

/**
 * Waits one jittered poll interval for the inflow window to advance, so that the cap is fully used. Refuses a request
 * that waited too long, or when as many requests wait already as the cap admits in a second.
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
    const isTooLong = waitedMillis > maxInflowWaitMillis || remainingMillis < waitedMillis;
    if (service.inflowWaiters.count >= share || isTooLong) {
        return refuse("capReached", "");
    }
    service.inflowWaiters.count += 1;
    const leaveQueue = Effect.sync(() => {
        service.inflowWaiters.count -= 1;
    });
    return Effect.ensuring(Effect.sleep(inflowPollIntervalMillis * (0.5 + Math.random())), leaveQueue);
}

function isWaitWorthwhile(context: Context, service: ServiceState, request: SteeringRequest): boolean {
    const load = {
        waiting: service.pool.waiting(),
        usableSlots: service.pool.usableSlots() - service.pool.setAsideSlots(),
        serviceMillis: typicalServiceMillis(context, service)
    };
    return canQueue(load, request.definition.queueWaitMillis, request.deadlineAtMillis - monotonicMillis());
}

/** Acquires a slot of a server that is set aside as slow, which is better than refusing the request. */
function acquireLastResortSlot(
    service: ServiceState,
    excluded: ReadonlySet<string>
): Effect.Effect<Placement, SteeringError> {
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
