import type { CrashRecords, ServiceReachability } from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import {
    type BackendServer,
    type Hedging,
    type Placed,
    type Placement,
    type RefusalReason,
    type RequestQueue,
    type RetryBudget,
    type Route,
    type Service,
    type ServiceTimeEstimates,
    type Waiter
} from "@endivebridge/traffic";
import { affinityHash, type CallerRequest, requestFingerprint } from "./CallerRequest";
import type { Dialect } from "./Dialect";
import type { EventLog } from "./EventLog";
import type { ServerAnswer } from "./Exchange";
import { type FinalAnswerKind, finalAnswers, leavingRetryMillis } from "./FinalAnswers";
import type { GatewayMetrics } from "./GatewayMetrics";
import {
    type ForwardedExchange,
    type ForwardedRequest,
    type PeerForwarding,
    readForwardedResult,
    readRetryAfterMillis
} from "./PeerForwarding";
import type { RateLimitReports } from "./RateLimitReports";
import { makeRequestSends } from "./RequestSends";
import type { ServerConnections } from "./ServerConnections";

/** A request with the route and service that the configuration gave it. */
export interface RoutedRequest {
    readonly request: CallerRequest;
    readonly route: Route;
    readonly service: Service;
    readonly configurationVersion: number;
    readonly arrivedMillis: number;
    /** How long ago the caller first sent it, derived from its remaining deadline; 0 for a first attempt. */
    readonly sinceFirstAttemptMillis: number;
    /** What the forwarding instance says of the request; undefined for a request of a caller of this instance. */
    readonly forwarded: ForwardedRequest | undefined;
}

/** How a request ended. */
export type RequestResult =
    | { readonly kind: "answered"; readonly answer: ServerAnswer; readonly send: LastSend; }
    | { readonly kind: "own"; readonly answer: FinalAnswerKind; readonly retryAfterMillis: number | undefined; }
    | { readonly kind: "abandoned"; };

/** The send whose answer is returned to the caller, with the placement figures that are logged for it. */
export interface LastSend {
    readonly server: string;
    readonly rank: number;
    readonly isRemote: boolean;
    readonly expectedMillis: number;
    readonly waitedMillis: number;
    readonly tookMillis: number;
    readonly sends: number;
}

/** A request being served. */
export interface RunningRequest {
    readonly result: Promise<RequestResult>;
    /** Whether the request waits for a slot, so that no send is in flight. */
    readonly isQueued: () => boolean;
    /** Called when the caller disconnects: sends nothing more and cancels the sends in flight. */
    readonly abandon: () => void;
}

/** Components that are used to serve a request. */
export interface RunRequestParts {
    readonly dialect: Dialect;
    readonly placement: Placement;
    readonly requestQueue: RequestQueue;
    /** Offers a freed slot to the queued requests. */
    readonly offerFreeSlots: (service: string) => void;
    readonly retryBudget: RetryBudget;
    readonly rateLimitReports: RateLimitReports;
    readonly hedging: Hedging;
    readonly estimates: ServiceTimeEstimates;
    readonly crashRecords: CrashRecords;
    /** Reports a crash to all peers at once. */
    readonly announceCrash: () => void;
    /** Whether the process at the address has ended. */
    readonly hasServerEnded: (host: string, port: number) => Promise<boolean>;
    readonly reachability: Pick<ServiceReachability, "isCutOff">;
    /** Records whether a new connection to a backend server could be opened. */
    readonly recordConnection: (server: BackendServer, isOpen: boolean) => void;
    readonly peerForwarding: PeerForwarding;
    /** Number of instances that share the retry budget. */
    readonly instanceCount: () => number;
    /** When the requests that are still open are cut; infinite unless the instance is shutting down. */
    readonly stopEndMillis: () => number;
    readonly connectionsOf: (placed: Placed) => ServerConnections;
    readonly log: EventLog;
    readonly metrics: GatewayMetrics;
}

/** Retry-After of a request that was refused because no server could be reached or all of them rejected it. */
const unreachableRetryMillis = 300;
/** Limit on sends per request when connections fail; after that many the server list is wrong, not one server. */
const maxSends = 6;
/** Failed connections of one request after which it goes to a peer, also if the service does not count as cut off. */
const maxUnreachableSends = 2;
/** Peers that a request is forwarded to, one after the other, while none has passed it on. */
const maxForwardedSends = 3;
/** Answers of a peer that has not passed the request on, while another one may. */
const unservedAnswers: readonly FinalAnswerKind[] = ["notReady", "leaving", "noServers", "unreachable"];
/** Part of the deadline reserved for returning the response to the caller. */
const responseMarginMillis = 5;

/** Part of a pause by which callers return later than its end, each by another part, so that they return one by one. */
const returnSpreadShare = 0.5;

function spreadReturn(pauseMillis: number): number {
    return pauseMillis * (1 + returnSpreadShare * Math.random());
}

type PlacementResult =
    | { readonly kind: "placed"; readonly placed: Placed; }
    | { readonly kind: "refused"; readonly answer: FinalAnswerKind; readonly retryAfterMillis: number | undefined; }
    /** The service is cut off, so that no slot of its servers can be used. */
    | { readonly kind: "cut off"; }
    | { readonly kind: "ended"; };

const refusalAnswers: Record<RefusalReason, FinalAnswerKind> = {
    "no servers": "noServers",
    "overloaded": "overloaded",
    "rate limited": "rateLimited",
    "waited too long": "overloaded"
};

/** Time from a request's arrival to its deadline, which is its caller's or its route's, whichever is earlier. */
export function effectivePatienceMillis(request: CallerRequest, route: Route): number {
    return Math.min(request.patienceMillis ?? Infinity, route.timeoutMillis);
}

/** Serves one request: waits for a free slot, sends, and retries where that is safe, until the answer is final. */
export function runRequest(parts: RunRequestParts, routed: RoutedRequest): RunningRequest {
    const { request, route, service, arrivedMillis, sinceFirstAttemptMillis, forwarded } = routed;
    const deadlineMillis = arrivedMillis + effectivePatienceMillis(request, route) - responseMarginMillis;
    const latestAnswerMillis = () => Math.min(deadlineMillis, parts.stopEndMillis());
    const keyHash = affinityHash(request, route);
    const placementTarget = { route, service: service.name };
    const triedServers = new Set<string>();
    let isFinished = false;
    let isHopLost = false;
    /** Number of sends that may have reached a server; failed connection attempts do not count. */
    let deliveredSends = forwarded?.sends ?? 0;
    let unreachableSends = 0;
    let isCounted = false;
    let forwardedExchange: ForwardedExchange | undefined;
    let stopWaiting: (() => void) | undefined;
    let settle: (result: RequestResult) => void = () => undefined;
    const sends = makeRequestSends(parts, routed, { keyHash, deadlineMillis, triedServers });
    const result = new Promise<RequestResult>(resolve => settle = resolve);

    const finishRequest = (requestResult: RequestResult) => {
        if (!isFinished) {
            isFinished = true;
            clearTimeout(deadlineTimer);
            stopWaiting?.();
            sends.cancel();
            forwardedExchange?.cancel();
            settle(requestResult);
        }
    };
    const finishWithFinalAnswer = (answer: FinalAnswerKind, retryAfterMillis?: number) =>
        finishRequest({ kind: "own", answer, retryAfterMillis });
    /** Whether a backend server may have run the request, over this instance or a peer. */
    const mayHaveRun = () => isHopLost || sends.mayHaveRun() || forwardedExchange?.mayHaveRun() === true;
    const deadlineTimer = setTimeout(
        () => finishWithFinalAnswer(mayHaveRun() ? "timedOut" : "timedOutBeforeRun"),
        Math.max(0, deadlineMillis - monotonicMillis())
    );

    const isQuarantined = (): boolean =>
        !parts.crashRecords.isEmpty()
        && parts.crashRecords.isQuarantined(requestFingerprint(request), monotonicMillis());

    /** A request is forwarded once: the peer that has it sends it to a server or answers it. */
    const mayForward = () => forwarded === undefined;

    const waitForPlacement = (isNew: boolean): Promise<PlacementResult> =>
        new Promise(resolve => {
            const waitingSinceMillis = monotonicMillis();
            let isFirstPlacementTry = isNew;
            let reason: RefusalReason | undefined;
            let isWithinRateLimits = true;
            /** Time until the first server resumes, if all have asked for a pause. */
            let pauseMillis = 0;
            const resolvePlacement = (placementResult: PlacementResult) => {
                stopWaiting = undefined;
                resolve(placementResult);
            };
            const expectedMillis = parts.estimates.estimateMillis(route, 0);
            /** Whether the shutdown of this instance would end a send before its answer, and before the deadline. */
            const isTooLateInStop = (nowMillis: number) =>
                parts.stopEndMillis() < deadlineMillis && nowMillis >= parts.stopEndMillis() - expectedMillis;
            const waiter: Waiter = {
                service: service.name,
                priority: route.priority,
                latestOnTimeSendMillis: arrivedMillis + route.objectiveMillis - sinceFirstAttemptMillis
                    - expectedMillis,
                isRetryAfterRefusal: sinceFirstAttemptMillis > 0,
                // A shutdown also shortens the wait of requests that are already queued.
                get latestSendMillis() {
                    return latestAnswerMillis() - expectedMillis;
                },
                tryPlace: nowMillis => {
                    if (isTooLateInStop(nowMillis)) {
                        return false;
                    }
                    if (isQuarantined()) {
                        resolvePlacement({ kind: "refused", answer: "quarantined", retryAfterMillis: undefined });
                        return true;
                    }
                    if (mayForward() && parts.reachability.isCutOff(service.name)) {
                        resolvePlacement({ kind: "cut off" });
                        return true;
                    }
                    const waitedShare = (nowMillis - waitingSinceMillis) / route.objectiveMillis;
                    const chosen = parts.placement.choose(
                        {
                            route,
                            service: service.name,
                            keyHash,
                            triedServers,
                            waitedShare,
                            isFirstAttempt: isFirstPlacementTry,
                            latestSendMillis: waiter.latestSendMillis
                        },
                        nowMillis
                    );
                    isFirstPlacementTry = false;
                    isWithinRateLimits = chosen !== "rate limited";
                    if (typeof chosen === "string") {
                        reason = chosen === "no servers" ? "no servers" : undefined;
                        pauseMillis = chosen === "paused" ? parts.placement.pauseMillis(placementTarget, nowMillis) : 0;
                        isWithinRateLimits &&= nowMillis + pauseMillis <= waiter.latestSendMillis;
                        return false;
                    }
                    parts.placement.reserve(chosen, nowMillis);
                    resolvePlacement({ kind: "placed", placed: chosen });
                    return true;
                },
                isWithinRateLimits: () => isWithinRateLimits,
                refuse: (queueReason, retryAfterMillis) => {
                    resolvePlacement(
                        isTooLateInStop(monotonicMillis())
                            ? { kind: "refused", answer: "leaving", retryAfterMillis: leavingRetryMillis }
                            : pauseMillis > 0
                            ? { kind: "refused", answer: "paused", retryAfterMillis: spreadReturn(pauseMillis) }
                            : { kind: "refused", answer: refusalAnswers[reason ?? queueReason], retryAfterMillis }
                    );
                }
            };
            stopWaiting = () => {
                parts.requestQueue.removeAbandoned(waiter);
                resolvePlacement({ kind: "ended" });
            };
            parts.requestQueue.submit(waiter, monotonicMillis());
        });

    /** Whether the request may be sent again; spends the retry budget if the last send may have reached a server. */
    const tryReserveRetry = (mayHaveReachedServer: boolean): boolean => {
        const hasExhaustedAttempts = deliveredSends >= route.maximumAttempts || sends.count() >= maxSends;
        if (hasExhaustedAttempts || (mayHaveRun() && !route.isIdempotent)) {
            return false;
        }
        const nowMillis = monotonicMillis();
        if (latestAnswerMillis() - nowMillis < parts.estimates.estimateMillis(route, 0) * 0.5) {
            return false;
        }
        return !mayHaveReachedServer
            || parts.retryBudget.trySpend(service.name, parts.instanceCount(), nowMillis);
    };

    /** Closes the server's connection at the deadline if the body that is streamed to the caller has not ended. */
    const endBodyAtDeadline = (unreadBody: ServerAnswer["unreadBody"]) => {
        if (unreadBody !== undefined) {
            const timer = setTimeout(() => unreadBody.destroy(), Math.max(0, deadlineMillis - monotonicMillis()));
            unreadBody.once("close", () => clearTimeout(timer));
        }
    };

    /** Counts the request once over all instances, where it is first sent to a server. */
    const countRequest = () => {
        if (!isCounted && deliveredSends === 0) {
            parts.retryBudget.countRequest(service.name, monotonicMillis());
            parts.hedging.countRequest(service.name, monotonicMillis());
        }
        isCounted = true;
    };

    /** Ends the request with the answer of a peer; false if the peer has not passed it on and another one may. */
    const finishWithAnswerOfPeer = (peer: string, answer: ServerAnswer, sentMillis: number): boolean => {
        const kind = readForwardedResult(answer);
        if (kind === undefined) {
            endBodyAtDeadline(answer.unreadBody);
            finishRequest({
                kind: "answered",
                answer,
                send: {
                    server: peer,
                    rank: 0,
                    isRemote: false,
                    expectedMillis: 0,
                    waitedMillis: Math.round(sentMillis - arrivedMillis),
                    tookMillis: Math.round(monotonicMillis() - sentMillis),
                    sends: sends.count() + 1
                }
            });
            return true;
        }
        if (unservedAnswers.includes(kind)) {
            return false;
        }
        const isRefusal: boolean = finalAnswers[kind].notRun;
        finishWithFinalAnswer(mayHaveRun() && isRefusal ? "answerLost" : kind, readRetryAfterMillis(answer));
        return true;
    };

    /** Forwards the request to a peer that reaches the service; false if no peer has passed it on. */
    const forwardToPeer = async (): Promise<boolean> => {
        const excludedPeers = new Set<string>();
        while (!isFinished && excludedPeers.size < maxForwardedSends) {
            const sentMillis = monotonicMillis();
            const exchange = parts.peerForwarding.start(routed, {
                deadlineMillis,
                sends: deliveredSends,
                excludedPeers
            });
            if (exchange === undefined) {
                return false;
            }
            excludedPeers.add(exchange.peer);
            forwardedExchange = exchange;
            const outcome = await exchange.outcome;
            forwardedExchange = undefined;
            parts.metrics.forwardedSends.inc({ service: service.name, outcome: outcome.kind });
            if (outcome.kind === "lost") {
                // The peer may have sent the request to a server, and nothing tells how often.
                isHopLost = true;
                finishWithFinalAnswer("answerLost");
            }
            if (outcome.kind === "answered" && finishWithAnswerOfPeer(exchange.peer, outcome.answer, sentMillis)) {
                return true;
            }
        }
        return isFinished;
    };

    const serve = async (): Promise<void> => {
        if (isQuarantined()) {
            finishWithFinalAnswer("quarantined");
            return;
        }
        for (let isNew = true; !isFinished; isNew = false) {
            const isCutOff = parts.reachability.isCutOff(service.name);
            if (mayForward() && (isCutOff || unreachableSends >= maxUnreachableSends)) {
                if (await forwardToPeer()) {
                    return;
                }
                if (isCutOff) {
                    finishWithFinalAnswer(mayHaveRun() ? "answerLost" : "unreachable", unreachableRetryMillis);
                    return;
                }
            }
            countRequest();
            const placementResult = await waitForPlacement(isNew);
            if (placementResult.kind === "ended") {
                return;
            }
            if (placementResult.kind === "cut off") {
                continue;
            }
            if (placementResult.kind === "refused") {
                finishWithFinalAnswer(
                    mayHaveRun() ? "answerLost" : placementResult.answer,
                    placementResult.retryAfterMillis
                );
                return;
            }
            const { placed } = placementResult;
            if (isFinished) {
                // The caller disconnected, or the deadline passed, while the slot was being assigned.
                placed.tracked.ownInFlight -= 1;
                return;
            }
            parts.metrics.queueWait.observe({ service: service.name }, (monotonicMillis() - arrivedMillis) / 1_000);
            const attempt = await sends.send(placed);
            const { outcome, sentMillis, tookMillis } = attempt;
            if (outcome.kind === "cancelled") {
                return;
            }
            deliveredSends += outcome.kind === "unreachable" ? 0 : 1;
            unreachableSends += outcome.kind === "unreachable" ? 1 : 0;
            if (outcome.kind === "answered" && !outcome.answer.isNotExecuted && outcome.answer.isSigned) {
                const isServerError = outcome.answer.status >= 500;
                if (
                    isServerError && outcome.answer.unreadBody === undefined && route.isIdempotent
                    && tryReserveRetry(true)
                ) {
                    sends.logRepeatedSend("resend", placed, `status ${outcome.answer.status}`, tookMillis);
                    continue;
                }
                endBodyAtDeadline(outcome.answer.unreadBody);
                const { rank, isRemote, expectedMillis } = placed;
                finishRequest({
                    kind: "answered",
                    answer: outcome.answer,
                    send: {
                        server: placed.tracked.server.id,
                        rank,
                        isRemote,
                        expectedMillis: Math.round(expectedMillis),
                        waitedMillis: Math.round(sentMillis - arrivedMillis),
                        tookMillis: Math.round(tookMillis),
                        sends: sends.count()
                    }
                });
                return;
            }
            const detail = outcome.kind === "answered" ? `not run, status ${outcome.answer.status}` : outcome.detail;
            if (isQuarantined()) {
                finishWithFinalAnswer("crashedServers");
                return;
            }
            if (tryReserveRetry(outcome.kind !== "unreachable")) {
                sends.logRepeatedSend("resend", placed, detail, tookMillis);
                continue;
            }
            if (mayHaveRun()) {
                finishWithFinalAnswer("answerLost");
            }
            else if (outcome.kind === "unreachable") {
                finishWithFinalAnswer("unreachable", unreachableRetryMillis);
            }
            else {
                const pauseMillis = parts.placement.pauseMillis(placementTarget, monotonicMillis());
                finishWithFinalAnswer("rejected", Math.max(unreachableRetryMillis, spreadReturn(pauseMillis)));
            }
            return;
        }
    };

    serve().catch((error: unknown) => {
        parts.log.error(
            "fault",
            { requestId: request.id, error: String(error) },
            "unexpected error while serving a request"
        );
        finishWithFinalAnswer("internal");
    });

    return {
        result,
        isQueued: () => stopWaiting !== undefined,
        abandon: () => finishRequest({ kind: "abandoned" })
    };
}
