import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type ConnectRouter, type Interceptor } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { type SteeringError, steeringError } from "@endivebridge/core";
import { type ForwardRequest, type ForwardResponse, ForwardResponseSchema, PeerService } from "@endivebridge/protocol";
import { monotonicMillis, requestBytes } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import { createServer, type Http2Server, type ServerHttp2Session } from "node:http2";
import type { Context, ServiceState } from "./Context";
import { describeInstance } from "./DescribeInstance";
import { describeLoad, handleHeartbeat } from "./Heartbeat";
import { keysMatch } from "./KeysMatch";
import { runOwnedOperation } from "./Operations";
import { bodyBytesHeader, notRunHeader, peerKeyHeader } from "./Peer";
import { runRequest } from "./RunRequest";
import type { Answer, SteeringRequest } from "./SteeringRequest";

const maxForwardedAnswerBytes = 16 * 1_048_576;
/** A body is held as it was received and as the message decoded from that. */
const copiesOfBody = 2;

async function collectBody(answer: Answer): Promise<Buffer> {
    const chunks: Buffer[] = [answer.body];
    let length = answer.body.length;
    for await (const chunk of answer.remainingBody ?? []) {
        length += (chunk as Buffer).length;
        if (length > maxForwardedAnswerBytes) {
            throw new ConnectError("answer too large to be passed between instances", Code.ResourceExhausted);
        }
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}

function decodeRequest(context: Context, message: ForwardRequest, isForwarded: boolean): SteeringRequest {
    const definition = context.configuration.read()?.document.services[message.service];
    if (definition === undefined) {
        throw new ConnectError("unknown service", Code.FailedPrecondition);
    }
    return {
        request: message.request,
        service: message.service,
        definition,
        method: message.method,
        path: message.path,
        headers: message.headers.map(({ name, value }) => [name, value] as const),
        body: Buffer.from(message.body.buffer, message.body.byteOffset, message.body.byteLength),
        idempotent: message.idempotent,
        operation: message.operation === "" ? undefined : message.operation,
        idempotencyKey: undefined,
        deadlineAtMillis: monotonicMillis() + message.deadlineMillis,
        sourceRegion: message.sourceRegion,
        forwarded: isForwarded
    };
}

async function encodeAnswer(
    context: Context,
    result: Result.Result<Answer, SteeringError>,
    service: ServiceState | undefined
): Promise<ForwardResponse> {
    const load = service === undefined ? undefined : describeLoad(context, service);
    if (Result.isFailure(result)) {
        return create(ForwardResponseSchema, { errorKind: result.failure.kind, detail: result.failure.detail, load });
    }
    const answer = result.success;
    return create(ForwardResponseSchema, {
        status: answer.status,
        headers: answer.headers.map(([name, value]) => ({ name, value })),
        body: await collectBody(answer),
        server: answer.server,
        load
    });
}

function serveForward(context: Context, message: ForwardRequest, signal: AbortSignal): Promise<ForwardResponse> {
    if (context.shutdown.read()) {
        return encodeAnswer(context, Result.fail(steeringError("shuttingDown")), undefined);
    }
    const request = decodeRequest(context, message, true);
    const service = context.services.get(request.service);
    const effect = service === undefined
        ? Effect.fail(steeringError("noServers"))
        : runRequest(context, service, request);
    return Effect.runPromise(Effect.result(effect), { signal: request.idempotent ? signal : undefined }).then(result =>
        encodeAnswer(context, result, service)
    );
}

function serveOperation(context: Context, message: ForwardRequest): Promise<ForwardResponse> {
    const request = decodeRequest(context, message, false);
    const service = context.services.get(request.service);
    const effect = service === undefined || request.operation === undefined
        ? Effect.fail(steeringError("noServers"))
        : runOwnedOperation(context, request, request.operation, () => runRequest(context, service, request));
    return Effect.runPromise(Effect.result(effect)).then(result => encodeAnswer(context, result, service));
}

function keyInterceptor(key: string): Interceptor {
    return next => request => {
        if (!keysMatch(request.header.get(peerKeyHeader) ?? "", key)) {
            throw new ConnectError("wrong peer key", Code.Unauthenticated);
        }
        return next(request);
    };
}

/** Number of peers' calls in flight. */
interface OpenCalls {
    count: number;
}

function countOpenCall<Value>(openCalls: OpenCalls, call: Promise<Value>): Promise<Value> {
    openCalls.count += 1;
    return call.finally(() => {
        openCalls.count -= 1;
    });
}

function routes(context: Context, openCalls: OpenCalls): (router: ConnectRouter) => void {
    return router => {
        router.service(PeerService, {
            heartbeat: request => handleHeartbeat(context, request),
            forward: (request, call) => countOpenCall(openCalls, serveForward(context, request, call.signal)),
            runOperation: message => {
                if (message.request === undefined) {
                    throw new ConnectError("request missing", Code.InvalidArgument);
                }
                return countOpenCall(openCalls, serveOperation(context, message.request));
            },
            describe: request => ({
                instance: JSON.stringify(describeInstance(context)),
                events: request.eventsAfter === undefined
                    ? ""
                    : JSON.stringify(context.timeLine.after(request.eventsAfter))
            }),
            readConfiguration: () => {
                const configuration = context.configuration.read();
                return { version: configuration?.version ?? 0, text: configuration?.text ?? "" };
            }
        });
    };
}

function parseBodyBytes(text: string | readonly string[] | undefined): number | undefined {
    return typeof text === "string" && /^\d{1,10}$/.test(text) ? Number(text) : undefined;
}

/** HTTP/2 server that accepts calls of other entry instances. */
export interface PeerServer {
    readonly server: Http2Server;
    /** Returns the number of peers' calls in flight. */
    readonly openCallCount: () => number;
    readonly close: () => void;
}

/** Opens the server for other entry instances; resolves once it listens. */
export function openPeerServer(context: Context): Promise<PeerServer> {
    const openCalls: OpenCalls = { count: 0 };
    const handler = connectNodeAdapter({
        routes: routes(context, openCalls),
        interceptors: [keyInterceptor(context.settings.keys.peer)],
        readMaxBytes: 4 * 1_048_576
    });
    const server = createServer((request, response) => {
        const bodyBytes = parseBodyBytes(request.headers[bodyBytesHeader]);
        if (bodyBytes === undefined) {
            // Heartbeats and queries carry no body; they are served also while memory is short.
            handler(request, response);
            return;
        }
        let isRefused = false;
        const claim = context.clientMemory.claim(requestBytes + copiesOfBody * bodyBytes, () => isRefused = true);
        if (isRefused) {
            context.metrics.count("refused_peer_calls");
            response.writeHead(503, { "content-type": "application/json", [notRunHeader]: "1" });
            response.end(JSON.stringify({ code: "unavailable", message: "callers hold too much memory" }));
            return;
        }
        claim.keep();
        response.once("close", claim.release);
        handler(request, response);
    });
    const sessions = new Set<ServerHttp2Session>();
    server.on("session", session => {
        sessions.add(session);
        session.on("close", () => sessions.delete(session));
        session.on("error", () => session.destroy());
    });
    const { host, port } = context.settings.peers;
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () =>
            resolve({
                server,
                openCallCount: () => openCalls.count,
                close: () => {
                    server.close();
                    sessions.forEach(session => session.close());
                }
            }));
    });
}
