import { recordLostSend } from "@endivebridge/core";
import { isRefusingConnections, monotonicMillis } from "@endivebridge/shared";
import { Effect } from "effect";
import type { Context, ServiceState } from "./Context";
import { makeHeartbeat } from "./Heartbeat";
import { requestFingerprint } from "./Operations";
import type { SteeringRequest } from "./SteeringRequest";

const notificationTimeoutMillis = 1_000;

/** Dispatch whose connection to the server was cut before its answer was complete. */
export interface LostDispatch {
    readonly server: string;
    /** host:port of the server. */
    readonly address: string;
    readonly sentMillis: number;
    readonly lostMillis: number;
    /** Whether no other suspect of this instance ran at the same time. */
    readonly wasIsolated: boolean;
}

/** Whether a request is quarantined because enough servers crashed while running it. */
export function isQuarantined(context: Context, request: SteeringRequest): boolean {
    return !context.crashRecords.isEmpty()
        && context.crashRecords.isQuarantined(requestFingerprint(request), monotonicMillis());
}

/**
 * Records that a server crashed while it had a request, and notifies every peer at once, as the caller will probably resend
 * the request to another instance. Live servers also reset connections; those count for nothing.
 */
export async function recordServerCrash(context: Context, request: SteeringRequest, lost: LostDispatch): Promise<void> {
    const separator = lost.address.lastIndexOf(":");
    const cause = await recordLostSend(context.crashRecords, {
        fingerprint: requestFingerprint(request),
        server: lost.server,
        sentMillis: lost.sentMillis,
        lostMillis: lost.lostMillis,
        wasIsolated: lost.wasIsolated
    }, () => isRefusingConnections(lost.address.slice(0, separator), Number(lost.address.slice(separator + 1))));
    if (cause === "none") {
        return;
    }
    const quarantined = isQuarantined(context, request);
    context.timeLine.emit({ kind: "serverDied", server: lost.server, request: request.request });
    context.log.warn(
        { request: request.request, service: request.service, server: lost.server, quarantined },
        "backend server crashed while running a request; notifying peers"
    );
    const heartbeat = makeHeartbeat(context);
    for (const peer of context.peers.values()) {
        const notification = Effect.tryPromise(signal =>
            peer.client.heartbeat(heartbeat, { signal, timeoutMs: notificationTimeoutMillis })
        );
        context.fork(Effect.ignore(notification));
    }
}

function isSuspect(context: Context, request: SteeringRequest): boolean {
    return !context.crashRecords.isEmpty()
        && context.crashRecords.isSuspect(requestFingerprint(request), monotonicMillis());
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

/** Clears the crash record of a request that a server ran to its end; a failure does not show that it did. */
export function clearSuspicion(context: Context, request: SteeringRequest, status: number): void {
    if (!context.crashRecords.isEmpty() && status < 500) {
        context.crashRecords.recordCompletedRun(requestFingerprint(request), monotonicMillis());
    }
}
