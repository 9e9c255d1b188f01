import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { errorAnswers, type ErrorKind, parseErrorKind, type Ran } from "@endivebridge/core";
import { type ForwardRequest, ForwardRequestSchema, type ForwardResponse } from "@endivebridge/protocol";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect } from "effect";
import { recordPeerLoad } from "./Heartbeat";
import { bodyBytesHeader, notRunHeader, type Peer } from "./Peer";
import type { Answer, SteeringRequest } from "./SteeringRequest";

/** Why forwarding to a peer failed, and whether the request may have run. */
export interface ForwardFailure {
    readonly kind: ErrorKind;
    readonly ran: Ran;
    readonly detail: string;
}

/** Encodes a request as a message to a peer, with the time left until its deadline. */
export function encodeForward(request: SteeringRequest): ForwardRequest {
    return create(ForwardRequestSchema, {
        service: request.service,
        method: request.method,
        path: request.path,
        headers: request.headers.map(([name, value]) => ({ name, value })),
        body: request.body,
        deadlineMillis: Math.max(1, Math.floor(request.deadlineAtMillis - monotonicMillis())),
        idempotent: request.idempotent,
        operation: request.operation ?? "",
        sourceRegion: request.sourceRegion,
        request: request.request
    });
}

/** Decodes a peer's response; one with an error kind becomes a failure. */
export function decodeForward(response: ForwardResponse): Effect.Effect<Answer, ForwardFailure> {
    if (response.errorKind !== "") {
        const kind = parseErrorKind(response.errorKind);
        return Effect.fail({ kind, ran: errorAnswers[kind].ran, detail: response.detail });
    }
    return Effect.succeed({
        status: response.status,
        headers: response.headers.map(({ name, value }) => [name, value] as const),
        body: Buffer.from(response.body),
        remainingBody: undefined,
        server: response.server
    });
}

/** Forwards a request to a peer for a free slot, without retries, and records the load that the peer reports. */
export function forwardRequest(
    peer: Peer,
    request: SteeringRequest
): Effect.Effect<Answer, ForwardFailure> {
    return callPeer(signal =>
        peer.client.forward(encodeForward(request), callOptions(request, signal)).then(response => {
            if (response.load !== undefined) {
                recordPeerLoad(peer, response.load);
            }
            return response;
        })
    );
}

/** Forwards an operation to the peer that owns its id. */
export function forwardOperation(
    peer: Peer,
    request: SteeringRequest
): Effect.Effect<Answer, ForwardFailure> {
    return callPeer(signal =>
        peer.client.runOperation({ request: encodeForward(request) }, callOptions(request, signal))
    );
}

function callOptions(request: SteeringRequest, signal: AbortSignal) {
    return {
        signal,
        timeoutMs: Math.max(1, Math.floor(request.deadlineAtMillis - monotonicMillis())),
        headers: { [bodyBytesHeader]: String(request.body.length) }
    };
}

function callPeer(call: (signal: AbortSignal) => Promise<ForwardResponse>): Effect.Effect<Answer, ForwardFailure> {
    return Effect.tryPromise({
        try: call,
        catch: (error): ForwardFailure => {
            const failure = ConnectError.from(error);
            if (failure.metadata.has(notRunHeader)) {
                return { kind: "overloaded", ran: "no", detail: `peer: ${failure.rawMessage}` };
            }
            const kind = failure.code === Code.DeadlineExceeded ? "deadlineInRun" : "serverFailed";
            return { kind, ran: "maybe", detail: `peer: ${failure.rawMessage}` };
        }
    }).pipe(Effect.flatMap(decodeForward));
}
