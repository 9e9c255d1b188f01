import { monotonicMillis } from "@endivebridge/shared";
import {
    currentSlowness,
    type Placed,
    type Route,
    type Service,
    type ServiceTimeEstimates,
    type TrackedServer
} from "@endivebridge/traffic";
import type { Dialect } from "./Dialect";
import type { EventLog } from "./EventLog";
import { type ExchangeOutcome, misdirectedRequestStatus, type ServerAnswer } from "./Exchange";
import type { GatewayMetrics } from "./GatewayMetrics";
import type { RateLimitReports } from "./RateLimitReports";

/** A send with its route, server, outcome and duration. */
export interface CompletedSend {
    readonly route: Route;
    readonly service: Service;
    readonly placed: Placed;
    readonly outcome: ExchangeOutcome;
    readonly tookMillis: number;
    /** Whether the request has an affinity key, which servers answer faster once they have handled it. */
    readonly hasCacheLocality: boolean;
}

/** Header names, service time estimates, rate limits and log that the update uses. */
export interface ServerStatisticsParts {
    readonly dialect: Dialect;
    readonly estimates: ServiceTimeEstimates;
    readonly rateLimitReports: RateLimitReports;
    readonly log: EventLog;
    readonly metrics: GatewayMetrics;
}

/** Backoff after a failed connection, in which the server gets no requests; each further failure doubles it. */
const initialAvoidMillis = 200;
const maxAvoidMillis = 2_000;
const unavailableStatus = 503;
/** Limit on the pause that one answer of a server can ask for. */
const maxPauseMillis = 600_000;
/** Weight of the newest outcome in the exponentially weighted failure share of a server. */
const newestOutcomeWeight = 0.15;

/** Updates a server's reachability, failure share, slowness and service time estimates from the outcome of a send. */
export function updateServerStatistics(parts: ServerStatisticsParts, send: CompletedSend): void {
    const { outcome, service } = send;
    const { tracked } = send.placed;
    const nowMillis = monotonicMillis();
    if (outcome.kind === "cancelled") {
        return;
    }
    const isFailure = outcome.kind !== "answered" || outcome.answer.isNotExecuted || outcome.answer.status >= 500;
    tracked.failureShare += newestOutcomeWeight * ((isFailure ? 1 : 0) - tracked.failureShare);
    if (outcome.kind === "unreachable") {
        tracked.failedConnections += 1;
        const pauseMillis = Math.min(maxAvoidMillis, initialAvoidMillis * 2 ** (tracked.failedConnections - 1));
        tracked.avoidUntilMillis = nowMillis + pauseMillis;
    }
    if (outcome.kind === "answered") {
        if (tracked.failedConnections > 0) {
            // The server may have restarted, so it counts as cold until the platform reports newer data.
            tracked.failedConnections = 0;
            tracked.coldUntilMillis = Math.max(tracked.coldUntilMillis, nowMillis + service.coldStartMillis);
        }
        recordReportedLoad(parts.dialect, tracked, outcome.answer, nowMillis);
        recordAnnouncedLeaving(parts, tracked, outcome.answer);
        recordPause(parts, tracked, outcome.answer, nowMillis - send.tookMillis, nowMillis);
        recordReportedLimit(parts, tracked, outcome.answer, nowMillis - send.tookMillis, nowMillis);
        const isSuccess = outcome.answer.isSigned && !isFailure;
        // Response times from other regions include the network round trip, so they are left out of the estimates.
        if (isSuccess && !send.placed.isRemote) {
            const rank = send.hasCacheLocality ? send.placed.rank : 0;
            parts.estimates.recordMeasurement(send.route, rank, send.tookMillis / currentSlowness(tracked, nowMillis));
        }
    }
}

/** Forgets the failures of a server that were not its own. */
export function clearFailures(tracked: TrackedServer): void {
    tracked.failedConnections = 0;
    tracked.avoidUntilMillis = 0;
    tracked.failureShare = 0;
}

function recordReportedLoad(
    dialect: Dialect,
    tracked: TrackedServer,
    { headers }: ServerAnswer,
    nowMillis: number
): void {
    const text = headers[dialect.serverLoadHeader];
    const load = typeof text === "string" ? dialect.parseServerLoad(text) : undefined;
    if (load !== undefined) {
        tracked.slowness = load.slowness;
        tracked.slownessAtMillis = nowMillis;
    }
}

/** Records that a server is leaving. An answer that the request was misdirected is that of another server. */
function recordAnnouncedLeaving(
    { dialect, metrics, log }: ServerStatisticsParts,
    tracked: TrackedServer,
    { headers, status }: ServerAnswer
): void {
    const text = headers[dialect.serverLeavingHeader];
    if (tracked.hasAnnouncedLeaving || typeof text !== "string" || status === misdirectedRequestStatus) {
        return;
    }
    if (!dialect.isServerLeaving(text)) {
        return;
    }
    tracked.hasAnnouncedLeaving = true;
    metrics.serversAnnouncedLeaving.inc({ service: tracked.server.service });
    log.info(
        "server",
        { id: tracked.server.id, service: tracked.server.service, isLeavingByDescription: tracked.server.isLeaving },
        "server announced in an answer that it is leaving; sending it no further requests"
    );
}

/** Records that a server wants no requests for some time, or that it has resumed after a pause. */
function recordPause(
    { dialect, metrics, log }: ServerStatisticsParts,
    tracked: TrackedServer,
    { headers, status }: ServerAnswer,
    sentMillis: number,
    nowMillis: number
): void {
    const { id, service } = tracked.server;
    if (status !== unavailableStatus) {
        if (tracked.isResuming && sentMillis >= tracked.pausedUntilMillis) {
            tracked.isResuming = false;
            log.info("server pause", { server: id, service, isPaused: false }, "server resumed after a pause");
        }
        return;
    }
    const text = headers[dialect.pauseHeader];
    if (text === undefined) {
        return;
    }
    const statedMillis = typeof text === "string" ? dialect.parsePauseMillis(text) : undefined;
    const kind = statedMillis === undefined ? "invalid" : statedMillis > maxPauseMillis ? "bounded" : "valid";
    metrics.serverPauses.inc({ service, kind });
    if (statedMillis === undefined) {
        log.info(
            "server pause",
            { server: id, service, stated: text.slice(0, 40) },
            "server states an invalid pause; ignored"
        );
        return;
    }
    const pauseMillis = Math.min(statedMillis, maxPauseMillis);
    if (tracked.pausedUntilMillis <= nowMillis) {
        log.info(
            "server pause",
            { server: id, service, isPaused: true, pauseMillis, statedMillis },
            "server asked for a pause; sending it no requests meanwhile"
        );
    }
    tracked.pausedUntilMillis = Math.max(tracked.pausedUntilMillis, nowMillis + pauseMillis);
    tracked.isResuming = true;
}

/**
 * Records the rate limit that an answer states. An answer without a limit ends it only if the server ran the request,
 * and as of the time when the request was sent, since answers may arrive in another order.
 */
function recordReportedLimit(
    { dialect, rateLimitReports, log }: ServerStatisticsParts,
    { server, rateLimit, recentSends }: TrackedServer,
    { headers, isSigned, isNotExecuted }: ServerAnswer,
    sentMillis: number,
    nowMillis: number
): void {
    const text = headers[dialect.serverLimitHeader];
    const requestsPerSecond = typeof text === "string" ? dialect.parseServerLimit(text) : undefined;
    if (requestsPerSecond === undefined && (text !== undefined || !isSigned || isNotExecuted)) {
        return;
    }
    const atMillis = requestsPerSecond === undefined ? sentMillis : nowMillis;
    const previous = rateLimit.current(nowMillis)?.requestsPerSecond;
    if (rateLimitReports.recordAnswer(server.id, { requestsPerSecond, atMillis }, nowMillis)) {
        log.info("server limit", {
            server: server.id,
            requestsPerSecond,
            previous,
            recentSends: recentSends.total(nowMillis)
        }, "backend server changed its rate limit");
    }
}
