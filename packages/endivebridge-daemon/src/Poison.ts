import { monotonicMillis } from "@endivebridge/shared";
import { Effect } from "effect";
import type { Context, ServiceState } from "./Context";
import { makeHeartbeat } from "./Heartbeat";
import { requestFingerprint } from "./Operations";
import type { SteeringRequest } from "./SteeringRequest";

const notificationTimeoutMillis = 1_000;

/** Whether a request is quarantined because enough servers crashed while running it. */
export function isQuarantined(context: Context, request: SteeringRequest): boolean {
    return !context.poison.isEmpty()
        && context.poison.isQuarantined(requestFingerprint(request), monotonicMillis());
}

/**
 * Records that a server crashed while running a request, and notifies every peer at once, as the caller will probably
 * resend the request to another instance.
 */
export function recordServerCrash(
    context: Context,
    request: SteeringRequest,
    server: string,
    wasIsolated: boolean
): void {
    const fingerprint = requestFingerprint(request);
    const quarantined = context.poison.recordCrash(fingerprint, server, wasIsolated, monotonicMillis());
    context.timeLine.emit({ kind: "serverDied", server, request: request.request });
    context.log.warn(
        { request: request.request, service: request.service, server, quarantined },
        "backend server crashed while running a request; notifying peers"
    );
    // Peers get only the servers counted against this request, not every one that crashed while it was running.
    const heartbeat = makeHeartbeat(context, [{ fingerprint, servers: context.poison.serversOf(fingerprint) }]);
    for (const peer of context.peers.values()) {
        const notification = Effect.tryPromise(signal =>
            peer.client.heartbeat(heartbeat, { signal, timeoutMs: notificationTimeoutMillis })
        );
        context.fork(Effect.ignore(notification));
    }
}

function isSuspect(context: Context, request: SteeringRequest): boolean {
    return !context.poison.isEmpty()
        && context.poison.isSuspect(requestFingerprint(request), monotonicMillis());
}

/** The effects to choose from when a request is run. */
export interface RunModes<Value, Failure> {
    readonly unrestricted: Effect.Effect<Value, Failure>;
    /** Run while no other suspect request of this instance runs, on one server only. */
    readonly isolated: Effect.Effect<Value, Failure>;
    readonly refused: Effect.Effect<Value, Failure>;
}

/**
 * Runs a request. Suspect requests, during which a server crashed, run one at a time on this instance, so that the next
 * crash can be attributed to one of them. A request that was cleared while it waited runs without this restriction.
 */
export function runIsolatingSuspects<Value, Failure>(
    context: Context,
    service: ServiceState,
    request: SteeringRequest,
    modes: RunModes<Value, Failure>
): Effect.Effect<Value, Failure> {
    if (!isSuspect(context, request)) {
        return modes.unrestricted;
    }
    const isolated = Effect.suspend((): Effect.Effect<Value | undefined, Failure> => {
        if (isQuarantined(context, request)) {
            return modes.refused;
        }
        return isSuspect(context, request) ? modes.isolated : Effect.succeed(undefined);
    });
    return Effect.flatMap(
        service.suspectRequestLock.withPermits(1)(isolated),
        result => result === undefined ? modes.unrestricted : Effect.succeed(result)
    );
}

/** Clears the crash record of a request that ended with an answer. */
export function clearSuspicion(context: Context, request: SteeringRequest): void {
    if (!context.poison.isEmpty()) {
        context.poison.clear(requestFingerprint(request));
    }
}
