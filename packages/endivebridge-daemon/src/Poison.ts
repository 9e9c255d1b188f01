import { monotonicMillis } from "@endivebridge/shared";
import { Effect } from "effect";
import type { Context, ServiceState } from "./Context";
import { makeHeartbeat } from "./Heartbeat";
import { requestFingerprint } from "./Operations";
import type { SteeringRequest } from "./SteeringRequest";

const announceTimeoutMillis = 1_000;

/** Whether enough servers died under this request. */
export function isQuarantined(context: Context, request: SteeringRequest): boolean {
    return !context.poison.isEmpty()
        && context.poison.isQuarantined(requestFingerprint(request), monotonicMillis());
}

/** Counts a server that died under a request, and tells every peer at once: its caller will send it again. */
export function strikeRequest(
    context: Context,
    request: SteeringRequest,
    server: string,
    ranApart: boolean
): void {
    const fingerprint = requestFingerprint(request);
    const quarantined = context.poison.strike(fingerprint, server, ranApart, monotonicMillis());
    context.timeLine.emit({ kind: "serverDied", server, request: request.request });
    context.log.warn(
        { request: request.request, service: request.service, server, quarantined },
        "server died under request"
    );
    // Peers learn the servers that count, not every one that died beside the request.
    const heartbeat = makeHeartbeat(context, [{ fingerprint, servers: context.poison.serversOf(fingerprint) }]);
    for (const peer of context.peers.values()) {
        const announce = Effect.tryPromise(signal =>
            peer.client.heartbeat(heartbeat, { signal, timeoutMs: announceTimeoutMillis })
        );
        context.fork(Effect.ignore(announce));
    }
}

function isSuspect(context: Context, request: SteeringRequest): boolean {
    return !context.poison.isEmpty()
        && context.poison.isSuspect(requestFingerprint(request), monotonicMillis());
}

/** How a request may be run. */
export interface RunWays<Value, Failure> {
    readonly freely: Effect.Effect<Value, Failure>;
    /** Beside no other suspect, on one server only. */
    readonly apart: Effect.Effect<Value, Failure>;
    readonly refused: Effect.Effect<Value, Failure>;
}

/**
 * Runs a request. One under which a server died runs beside no other such request of this instance, so that the next
 * death tells which of them is to blame; one that was cleared meanwhile runs freely.
 */
export function runGuarded<Value, Failure>(
    context: Context,
    service: ServiceState,
    request: SteeringRequest,
    ways: RunWays<Value, Failure>
): Effect.Effect<Value, Failure> {
    if (!isSuspect(context, request)) {
        return ways.freely;
    }
    const apart = Effect.suspend((): Effect.Effect<Value | undefined, Failure> => {
        if (isQuarantined(context, request)) {
            return ways.refused;
        }
        return isSuspect(context, request) ? ways.apart : Effect.succeed(undefined);
    });
    return Effect.flatMap(
        service.suspects.withPermits(1)(apart),
        result => result === undefined ? ways.freely : Effect.succeed(result)
    );
}

/** Takes note that a request ended well. */
export function clearRequest(context: Context, request: SteeringRequest): void {
    if (!context.poison.isEmpty()) {
        context.poison.clear(requestFingerprint(request));
    }
}
