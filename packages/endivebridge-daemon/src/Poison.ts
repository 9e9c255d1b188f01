import { monotonicMillis } from "@endivebridge/shared";
import { Effect } from "effect";
import type { Context } from "./Context";
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
export function strikeRequest(context: Context, request: SteeringRequest, server: string): void {
    context.timeLine.emit({ kind: "serverDied", server, request: request.request });
    const quarantined = context.poison.strike(requestFingerprint(request), monotonicMillis());
    context.log.warn({ request: request.request, service: request.service, quarantined }, "server died under request");
    const heartbeat = makeHeartbeat(context);
    for (const peer of context.peers.values()) {
        const announce = Effect.tryPromise(signal =>
            peer.client.heartbeat(heartbeat, { signal, timeoutMs: announceTimeoutMillis })
        );
        context.fork(Effect.ignore(announce));
    }
}
