import { monotonicMillis } from "@endivebridge/shared";
import type { Placed } from "@endivebridge/traffic";
import { requestFingerprint } from "./CallerRequest";
import { attributeCrash } from "./CrashAttribution";
import { type Exchange, type ExchangeOutcome, startExchange } from "./Exchange";
import { raceAttempts } from "./RaceAttempts";
import type { RoutedRequest, RunRequestParts } from "./RunRequest";
import { updateServerStatistics } from "./UpdateServerStatistics";

/** One send with its outcome and timing. */
export interface CompletedAttempt {
    readonly placed: Placed;
    readonly outcome: ExchangeOutcome;
    readonly sentMillis: number;
    readonly tookMillis: number;
    /** Whether no other request was known to be in flight at the server when this one was sent and when it ended. */
    readonly ranAlone: boolean;
}

/** The sends of one request. */
export interface RequestSends {
    /**
     * Sends the request to a server on which a slot is reserved for it. On an idempotent route a slow send is hedged by
     * a second one; the first successful outcome is returned. A request that may crash servers is not hedged.
     */
    readonly send: (placed: Placed) => Promise<CompletedAttempt>;
    /** Cancels the sends in flight and prevents further hedging. */
    readonly cancel: () => void;
    readonly count: () => number;
    /** Whether any send, ended or in flight, may have been run by its server. */
    readonly mayHaveRun: () => boolean;
    readonly logRepeatedSend: (kind: "resend" | "hedge", placed: Placed, detail: string, tookMillis: number) => void;
}

/** Placement key, deadline and server list that the sends of one request share. */
export interface RequestSendsOptions {
    readonly keyHash: number | undefined;
    readonly deadlineMillis: number;
    /** Each send adds its server's id. */
    readonly triedServers: Set<string>;
}

/** Kind of a send: the first of its request, one after a failed send, or one beside a slow send. */
type SendKind = "first" | "resend" | "hedge";

/** Connect timeout within the region; servers accept connections within milliseconds. */
const connectTimeoutMillis = 400;
/** Connect timeout to another region, longer than the network round trip. */
const remoteConnectTimeoutMillis = 700;

const repeatedSendMessages = {
    resend: "sending the request again",
    hedge: "sending a hedged second attempt while the first is in flight"
};

function mayHaveBeenRun(outcome: ExchangeOutcome): boolean {
    switch (outcome.kind) {
        case "answered":
            return !outcome.answer.isNotExecuted;
        case "unreachable":
            return false;
        case "lost":
            return true;
        case "cancelled":
            return outcome.mayHaveRun;
    }
}

/** Creates the sends of one request without starting any. */
export function makeRequestSends(
    parts: RunRequestParts,
    { request, route, service }: RoutedRequest,
    { keyHash, deadlineMillis, triedServers }: RequestSendsOptions
): RequestSends {
    /** Sends in flight; two while a slow send is hedged. */
    const exchanges = new Set<Exchange>();
    let count = 0;
    let isCancelled = false;
    let hasRunPossibly = false;

    const cancelRunning = () => exchanges.forEach(exchange => exchange.cancel());

    const logRepeatedSend: RequestSends["logRepeatedSend"] = (kind, placed, detail, tookMillis) => {
        const nowMillis = monotonicMillis();
        parts.log.info(kind, {
            requestId: request.id,
            route: route.name,
            server: placed.tracked.server.id,
            detail,
            tookMillis: Math.round(tookMillis),
            sends: count,
            budgetLeft: parts.retryBudget.remaining(service.name, parts.instanceCount(), nowMillis),
            leftMillis: Math.round(deadlineMillis - nowMillis)
        }, repeatedSendMessages[kind]);
    };

    /** Sends the request once and updates the server's statistics from the outcome. */
    const sendOnce = async (placed: Placed, kind: SendKind): Promise<CompletedAttempt> => {
        const { server, rateLimit } = placed.tracked;
        const sentMillis = monotonicMillis();
        if (rateLimit.current(sentMillis) !== undefined) {
            parts.metrics.limitedServerSends.inc({ kind });
        }
        const leftMillis = Math.max(1, Math.floor(deadlineMillis - sentMillis));
        triedServers.add(server.id);
        count += 1;
        const isOnlyRequest = () => placed.tracked.ownInFlight + placed.tracked.peersInFlight <= 1;
        const startedAlone = isOnlyRequest();
        const exchange = startExchange(parts.dialect, {
            host: server.host,
            port: server.port,
            connections: parts.connectionsOf(placed),
            method: request.method,
            path: request.target,
            headers: {
                ...request.headers,
                ...request.body.length > 0 ? { "content-length": String(request.body.length) } : {},
                [parts.dialect.deadlineHeader]: String(leftMillis),
                [parts.dialect.targetServerHeader]: server.id
            },
            body: request.body,
            requestId: request.id,
            connectTimeoutMillis: placed.isRemote ? remoteConnectTimeoutMillis : connectTimeoutMillis,
            onConnection: isOpen => parts.recordConnection(server, isOpen)
        });
        exchanges.add(exchange);
        const outcome = await exchange.outcome;
        // Recorded at once: the deadline may pass while the outcome is still being evaluated.
        hasRunPossibly ||= mayHaveBeenRun(outcome);
        exchanges.delete(exchange);
        const tookMillis = monotonicMillis() - sentMillis;
        const ranAlone = startedAlone && isOnlyRequest();
        placed.tracked.ownInFlight -= 1;
        const hasCacheLocality = keyHash !== undefined;
        updateServerStatistics(parts, { route, service, placed, outcome, tookMillis, hasCacheLocality });
        parts.metrics.attempts.inc({ service: service.name, outcome: outcome.kind });
        parts.offerFreeSlots(service.name);
        const attempt = { placed, outcome, sentMillis, tookMillis, ranAlone };
        await attributeCrash(parts, request, attempt);
        return attempt;
    };

    const isSuspect = () =>
        !parts.crashRecords.isEmpty()
        && parts.crashRecords.isSuspect(requestFingerprint(request), monotonicMillis());

    /**
     * Sends a second attempt to the same server, which is warm for the request's key, if the server has a free slot and
     * no request of the service is queued.
     */
    const hedge = (placed: Placed): Promise<CompletedAttempt> | undefined => {
        const nowMillis = monotonicMillis();
        if (
            isCancelled || isSuspect() || parts.requestQueue.waiting(service.name) > 0
            || !parts.placement.canHedge(placed, nowMillis)
            || parts.retryBudget.remaining(service.name, parts.instanceCount(), nowMillis) < 1
            || !parts.hedging.trySpend(service.name, nowMillis)
        ) {
            return undefined;
        }
        parts.retryBudget.trySpend(service.name, parts.instanceCount(), nowMillis);
        logRepeatedSend("hedge", placed, "no answer yet", parts.hedging.delayMillis(placed.expectedMillis));
        parts.placement.reserve(placed, nowMillis);
        return sendOnce(placed, "hedge");
    };

    return {
        send: async placed => {
            const first = sendOnce(placed, count === 0 ? "first" : "resend");
            if (!route.isIdempotent) {
                return first;
            }
            const winner = await raceAttempts({
                first,
                delayMillis: parts.hedging.delayMillis(placed.expectedMillis),
                startSecond: () => hedge(placed),
                isSuccess: ({ outcome }) => outcome.kind === "answered" && outcome.answer.status < 500
            });
            cancelRunning();
            return winner;
        },
        cancel: () => {
            isCancelled = true;
            cancelRunning();
        },
        count: () => count,
        mayHaveRun: () => hasRunPossibly || [...exchanges].some(exchange => exchange.mayHaveRun()),
        logRepeatedSend
    };
}
