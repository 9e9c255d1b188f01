import {
    claimRequestMemory,
    type ClientLimits,
    isRequestTarget,
    makeByteCollector,
    monotonicMillis,
    type RequestMemory,
    type Teardown
} from "@endivebridge/shared";
import type { AttemptAgeEstimator, RouteTable, TrafficConfiguration, TrafficSplit } from "@endivebridge/traffic";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type Duplex, pipeline } from "node:stream";
import {
    type CallerConnection,
    type ConnectionCloser,
    type ConnectionRequest,
    makeCallerConnection
} from "./CallerConnection";
import { type CallerRequest, endToEndHeaders, makeCallerRequest, requestIdOf } from "./CallerRequest";
import type { Dialect } from "./Dialect";
import type { EventLog } from "./EventLog";
import type { ServerAnswer } from "./Exchange";
import { type FinalAnswerKind, finalAnswers, leavingRetryMillis } from "./FinalAnswers";
import type { GatewayMetrics } from "./GatewayMetrics";
import type { ForwardedRequest } from "./PeerForwarding";
import { forwardedResultHeader } from "./PeerHeaders";
import { effectivePatienceMillis, type RequestResult, type RoutedRequest, type RunningRequest } from "./RunRequest";
import type { UnreadAnswers } from "./UnreadAnswers";

/** The current configuration with its route lookup table. */
export interface ConfigurationInForce {
    readonly configuration: TrafficConfiguration;
    readonly routes: RouteTable;
    readonly appliedMillis: number;
}

/** Dependencies of the HTTP server for callers. */
export interface CallerServerParts {
    readonly dialect: Dialect;
    readonly configuration: () => ConfigurationInForce | undefined;
    /** Resolves once a starting instance can serve requests; undefined if there is nothing to wait for. */
    readonly whenStateComplete: () => Promise<void> | undefined;
    readonly trafficSplit: TrafficSplit;
    readonly attemptAgeEstimator: AttemptAgeEstimator;
    readonly limits: ClientLimits;
    readonly unreadAnswers: UnreadAnswers;
    readonly run: (routed: RoutedRequest) => RunningRequest;
    /** Decodes what a peer says of a request that it forwards; undefined for requests of callers. */
    readonly readForwarded: (message: IncomingMessage) => ForwardedRequest | undefined;
    /** Whether the instance is shutting down, so that callers should open their next connection elsewhere. */
    readonly isLeaving: () => boolean;
    /** When the requests that are still open are cut; infinite unless the instance is shutting down. */
    readonly stopEndMillis: () => number;
    readonly log: EventLog;
    readonly metrics: GatewayMetrics;
}

/** How far an open request has got: body incomplete, held by a starting instance, queued, or sent to a server. */
export type RequestStage = "reading" | "held" | "queued" | "sent" | "answering";

/** A request whose response is not closed yet. */
export interface OpenRequest {
    readonly id: string | undefined;
    /** Undefined until the body is complete. */
    readonly arrivedMillis: number | undefined;
    readonly stage: RequestStage;
}

/** The HTTP server for callers, its open connections and its open requests. */
export interface CallerServer {
    readonly server: Server;
    /** Serves a request of the server, or one that another server has received. */
    readonly handleRequest: (message: IncomingMessage, response: ServerResponse) => void;
    readonly openConnections: ReadonlySet<Socket>;
    readonly openRequests: () => number;
    readonly describeOpenRequests: () => readonly OpenRequest[];
}

interface RequestProgress {
    readonly memory: RequestMemory;
    releaseAnswer: Teardown;
    arrivedMillis: number | undefined;
    running: RunningRequest | undefined;
    isAnswering: boolean;
}

function requestStage({ arrivedMillis, running, isAnswering }: RequestProgress): RequestStage {
    if (isAnswering) {
        return "answering";
    }
    if (running !== undefined) {
        return running.isQueued() ? "queued" : "sent";
    }
    return arrivedMillis === undefined ? "reading" : "held";
}

/** Body limit of an instance that has no configuration yet. */
const initialBodyBytes = 1_048_576;
/** Longest time that a caller may take for a request; its deadline is shorter. */
const requestTimeoutMillis = 60_000;
/** Interval at which the header and request timeouts are checked. */
const timeoutCheckIntervalMillis = 5_000;
/** Idle connections stay open longer than declared, so that none closes while a timely request is under way to it. */
const idleTimeoutMarginMillis = 1_000;
const initialIdleTimeoutMillis = 60_000;
/** Memory that the rest of a large answer takes on its way: in the connections on both sides, and between them. */
const streamBufferBytes = 163_840;
/**
 * Retry-After of a 503 that is decided before the request runs, unless the instance is shutting down. The usual cause is
 * a configuration that is not loaded yet, and loading usually takes less than this.
 */
const earlyRefusalRetryMillis = 300;

/** Code of the error of a request whose head or body is not received in time. */
const requestTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

/** Status line for a request that cannot be read, by the error's code. */
function errorStatusLine(code: string | undefined): string {
    return code === requestTimeoutCode ? "408 Request Timeout" : "400 Bad Request";
}

function hasRequiredHost({ headers, httpVersion }: IncomingMessage): boolean {
    return headers.host !== undefined || httpVersion !== "1.1";
}

/** Creates the server for callers without listening. */
export function makeCallerServer(parts: CallerServerParts): CallerServer {
    const openRequests = new Map<IncomingMessage, RequestProgress>();
    const connections = new WeakMap<Duplex, CallerConnection>();

    const connectionOf = (socket: Socket): CallerConnection => {
        const known = connections.get(socket);
        if (known !== undefined) {
            return known;
        }
        const connection = makeCallerConnection(
            socket,
            closedBy => parts.metrics.unansweredRequests.inc({ closedBy })
        );
        connections.set(socket, connection);
        return connection;
    };

    const readBody = (
        message: IncomingMessage,
        memory: RequestMemory,
        maxBodyBytes: number
    ): Promise<Buffer | "too large" | "disconnected" | "full"> => {
        if (memory.isRefused()) {
            message.resume();
            return Promise.resolve("full");
        }
        if (message.headers["content-length"] === undefined && message.headers["transfer-encoding"] === undefined) {
            message.resume();
            return Promise.resolve(Buffer.alloc(0));
        }
        return new Promise(resolve => {
            const chunks = makeByteCollector();
            const refuse = (reason: "too large" | "full") => {
                message.removeAllListeners("data");
                message.resume();
                chunks.clear();
                memory.release();
                resolve(reason);
            };
            memory.setRefusalListener(() => refuse("full"));
            message.on("data", (chunk: Buffer) => {
                if (chunks.length() + chunk.length > maxBodyBytes) {
                    refuse("too large");
                    return;
                }
                chunks.append(chunk);
                memory.setBodyBytes(chunks.heldBytes());
            });
            message.on("end", () => resolve(chunks.take()));
            message.on("close", () => resolve("disconnected"));
            message.on("error", () => resolve("disconnected"));
        });
    };

    /** Whether this answer ends its connection: in a shutdown, unless a request behind it is in service. */
    const closesConnection = (connectionRequest: ConnectionRequest): boolean =>
        parts.isLeaving() && !connectionRequest.hasInServiceBehind();

    const sendFinalAnswer = (
        connectionRequest: ConnectionRequest,
        response: ServerResponse,
        requestId: string | undefined,
        kind: FinalAnswerKind,
        retryAfterMillis: number | undefined,
        isForwarded: boolean
    ) => {
        const { status, meaning } = finalAnswers[kind];
        const body = `${JSON.stringify({ error: meaning })}\n`;
        // The rest of a body that was refused is not read.
        const isClosing = closesConnection(connectionRequest) || !response.req.complete;
        if (isClosing) {
            connectionRequest.closeAfterAnswer();
        }
        response.writeHead(status, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(body),
            ...requestId === undefined ? {} : { [parts.dialect.requestIdHeader]: requestId },
            ...retryAfterMillis === undefined ? {} : { "Retry-After": (retryAfterMillis / 1_000).toFixed(3) },
            ...isClosing ? { "Connection": "close" } : {},
            ...isForwarded ? { [forwardedResultHeader]: kind } : {}
        });
        response.end(body);
    };

    const sendAnswer = (
        connection: CallerConnection,
        connectionRequest: ConnectionRequest,
        response: ServerResponse,
        method: string,
        answer: ServerAnswer
    ) => {
        const headers = endToEndHeaders(answer.rawHeaders, answer.headers.connection)
            .filter(([name]) => name.toLowerCase() !== parts.dialect.serverLeavingHeader);
        const flat = headers.flatMap(([name, value]) => [name, value]);
        if (closesConnection(connectionRequest)) {
            flat.push("Connection", "close");
            connectionRequest.closeAfterAnswer();
        }
        if (answer.unreadBody !== undefined) {
            const declared = answer.headers["content-length"];
            response.writeHead(
                answer.status,
                declared === undefined ? flat : [...flat, "Content-Length", declared]
            );
            response.write(answer.body);
            const { unreadBody } = answer;
            unreadBody.once("close", () => {
                if (!unreadBody.isComplete && connection.closedBy() === undefined) {
                    connection.recordClosing("truncatedAnswer");
                }
            });
            // Closes both connections if either ends early.
            pipeline(unreadBody, response, () => undefined);
            return;
        }
        const hasBody = answer.status !== 204 && answer.status !== 304;
        if (!answer.hasDeclaredLength && hasBody && method !== "HEAD") {
            if (connectionRequest.hasInServiceBehind()) {
                // Chunks keep the connection open for the requests behind. The body is complete: the backend server
                // closed its connection cleanly, and an answer cut off by a reset is never passed on.
                response.writeHead(answer.status, flat);
                response.end(answer.body);
                return;
            }
            // The end of the connection delimits this body; a Content-Length would make a truncated body look complete.
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
            connectionRequest.closeAfterAnswer();
            response.writeHead(answer.status, flat);
            response.end(answer.body);
            return;
        }
        const length = method === "HEAD" ? answer.headers["content-length"] : String(answer.body.length);
        response.writeHead(answer.status, hasBody && length !== undefined ? [...flat, "Content-Length", length] : flat);
        response.end(hasBody ? answer.body : undefined);
    };

    const route = (
        request: CallerRequest,
        isHostValid: boolean,
        forwarded: ForwardedRequest | undefined,
        arrivedMillis: number
    ): RoutedRequest | FinalAnswerKind => {
        if (!isRequestTarget(request.target) || !isHostValid) {
            return "badRequest";
        }
        const inForce = parts.configuration();
        if (inForce === undefined || (forwarded?.configurationVersion ?? 0) > inForce.configuration.version) {
            return "notReady";
        }
        const matched = inForce.routes.match(request.host, request.path);
        if (matched === undefined) {
            return "noRoute";
        }
        if (arrivedMillis + effectivePatienceMillis(request, matched) > parts.stopEndMillis()) {
            return "leaving";
        }
        const service = inForce.configuration.services.get(parts.trafficSplit.choose(matched));
        return service === undefined
            ? "noServers"
            : {
                request,
                route: matched,
                service,
                configurationVersion: inForce.configuration.version,
                arrivedMillis,
                forwarded,
                sinceFirstAttemptMillis: forwarded?.sinceFirstAttemptMillis
                    ?? parts.attemptAgeEstimator.sinceFirstMillis(
                        matched.name,
                        request.patienceMillis
                    )
            };
    };

    const logResult = (
        request: CallerRequest,
        routed: RoutedRequest | undefined,
        result: RequestResult,
        at: number,
        closedBy?: ConnectionCloser
    ) => {
        const tookMillis = monotonicMillis() - at;
        const outcome = closedBy !== undefined ? "abandoned" : result.kind === "own" ? result.answer : result.kind;
        const routeName = routed?.route.name ?? "none";
        parts.metrics.requests.inc({ route: routeName, outcome });
        parts.metrics.latency.observe({ route: routeName }, tookMillis / 1_000);
        const fields = {
            requestId: request.id,
            route: routeName,
            service: routed?.service.name,
            configurationVersion: routed?.configurationVersion,
            totalMillis: Math.round(tookMillis),
            patienceMillis: request.patienceMillis,
            sinceFirstAttemptMillis: routed?.sinceFirstAttemptMillis,
            affinityKey: request.affinityKey,
            outcome,
            closedBy,
            ...result.kind === "answered" ? { status: result.answer.status, ...result.send } : {},
            ...result.kind === "own"
                ? { status: finalAnswers[result.answer].status, retryAfterMillis: result.retryAfterMillis }
                : {}
        };
        if (outcome === "answered" && result.kind === "answered" && result.answer.status < 500) {
            parts.log.info("answered", fields, "request answered");
        }
        else {
            parts.log.info(`failed ${outcome}`, fields, "request not served");
        }
    };

    const handle = async (
        connection: CallerConnection,
        connectionRequest: ConnectionRequest,
        message: IncomingMessage,
        response: ServerResponse,
        progress: RequestProgress
    ): Promise<void> => {
        const limits = parts.configuration()?.configuration.callerLimits;
        const body = await readBody(message, progress.memory, limits?.bodyBytes ?? initialBodyBytes);
        const arrivedMillis = monotonicMillis();
        progress.arrivedMillis = arrivedMillis;
        if (body === "disconnected") {
            return;
        }
        progress.memory.keep();
        const stateComplete = parts.whenStateComplete();
        if (stateComplete !== undefined) {
            await stateComplete;
        }
        if (connection.closedBy() !== undefined || connection.isClosing()) {
            // Behind an answer that closes the connection: callers send such a request again.
            return;
        }
        const forwarded = parts.readForwarded(message);
        const isForwarded = forwarded !== undefined;
        const request = makeCallerRequest(parts.dialect, message, Buffer.isBuffer(body) ? body : Buffer.alloc(0));
        const routed = body === "too large"
            ? "bodyTooLarge"
            : body === "full"
            // Peers of earlier versions do not know the other kind.
            ? isForwarded ? "overloaded" : "memoryFull"
            : route(request, hasRequiredHost(message), forwarded, arrivedMillis);
        if (typeof routed === "string") {
            progress.isAnswering = true;
            const retryAfterMillis = routed === "leaving"
                ? leavingRetryMillis
                : finalAnswers[routed].status === 503
                ? earlyRefusalRetryMillis
                : undefined;
            if (await connectionRequest.whenNextToAnswer()) {
                sendFinalAnswer(connectionRequest, response, request.id, routed, retryAfterMillis, isForwarded);
                logResult(request, undefined, { kind: "own", answer: routed, retryAfterMillis }, arrivedMillis);
            }
            return;
        }
        await whenPendingEventsRead();
        if (connection.isClosing()) {
            return;
        }
        if (message.socket.readableEnded || message.socket.destroyed) {
            logResult(request, routed, { kind: "abandoned" }, arrivedMillis, connection.closedBy() ?? "caller");
            return;
        }
        const running = parts.run(routed);
        progress.running = running;
        connectionRequest.setInService();
        connectionRequest.setCloseListener(running.abandon);
        const firstResult = await running.result;
        progress.isAnswering = true;
        if (firstResult.kind === "answered") {
            const { body: answerBody, unreadBody } = firstResult.answer;
            progress.releaseAnswer = parts.unreadAnswers.add(
                response,
                answerBody.length + (unreadBody === undefined ? 0 : streamBufferBytes),
                () => {
                    connection.recordClosing("unreadAnswer");
                    message.socket.destroy();
                }
            );
        }
        const isWritable = await connectionRequest.whenNextToAnswer();
        const result = withoutLostBody(firstResult);
        if (isWritable && result.kind === "answered") {
            sendAnswer(connection, connectionRequest, response, request.method, result.answer);
        }
        if (isWritable && result.kind === "own") {
            sendFinalAnswer(
                connectionRequest,
                response,
                request.id,
                result.answer,
                result.retryAfterMillis,
                isForwarded
            );
        }
        logResult(request, routed, result, arrivedMillis, isWritable ? undefined : connection.closedBy());
    };

    const handleRequest: CallerServer["handleRequest"] = (message, response) => {
        const progress: RequestProgress = {
            memory: claimRequestMemory(parts.limits.memory, message),
            releaseAnswer: () => undefined,
            arrivedMillis: undefined,
            running: undefined,
            isAnswering: false
        };
        openRequests.set(message, progress);
        response.sendDate = false;
        // The Keep-Alive header of the answer declares the timeout of now, which may be lowered until then.
        const declaredIdleTimeoutMillis = server.keepAliveTimeout;
        response.once("finish", () => extendIdleTimeout(message.socket, declaredIdleTimeoutMillis));
        const connection = connectionOf(message.socket);
        const connectionRequest = connection.addRequest(response, () => {
            openRequests.delete(message);
            progress.memory.release();
            progress.releaseAnswer();
        });
        handle(connection, connectionRequest, message, response, progress).catch((error: unknown) => {
            parts.log.error("fault", { error: String(error) }, "unexpected error while responding to a caller");
            connection.recordClosing("fault");
            response.destroy();
        });
    };
    const server = createServer({
        keepAliveTimeout: initialIdleTimeoutMillis,
        requestTimeout: requestTimeoutMillis,
        connectionsCheckingInterval: timeoutCheckIntervalMillis,
        // Refusals of the server itself would not count as unanswered requests.
        requireHostHeader: false,
        noDelay: true
    }, handleRequest);
    parts.limits.register(server);
    const openConnections = new Set<Socket>();
    server.on("connection", socket => {
        openConnections.add(socket);
        socket.once("close", () => openConnections.delete(socket));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const connection = connections.get(socket);
        parts.limits.discardInput(socket as Socket);
        const close = () => {
            if (connection?.isClosing() === true || (socket.writableEnded && !socket.destroyed)) {
                // Bytes that arrive while the connection lingers.
                return;
            }
            parts.log.info("bad request", { error: error.message }, "caller connection closed after a protocol error");
            if (error.code === requestTimeoutCode) {
                parts.metrics.limitedConnections.inc({ clients: "callers", limit: "time" });
            }
            const isCallerGone = error.code === "ECONNRESET" || error.code === "EPIPE";
            if (!isCallerGone) {
                connection?.recordClosing("protocolError");
            }
            if (socket.writable && !isCallerGone && connection?.isWritingAnswer() !== true) {
                const statusLine = errorStatusLine(error.code);
                parts.limits.closeWithLinger(
                    socket as Socket,
                    `HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`
                );
            }
            else {
                socket.destroy();
            }
        };
        if (connection === undefined || !socket.writable || socket.readableEnded) {
            close();
        }
        else {
            connection.afterReadRequests(close);
        }
    });
    return {
        server,
        handleRequest,
        openConnections,
        openRequests: () => openRequests.size,
        describeOpenRequests: () =>
            [...openRequests].map(([message, progress]) => ({
                id: requestIdOf(parts.dialect, message),
                arrivedMillis: progress.arrivedMillis,
                stage: requestStage(progress)
            }))
    };
}

/**
 * Resolves after the next iteration of the event loop. A busy process reads a request long after it has arrived; the close
 * of its connection is then pending too, but is read one iteration after the request.
 */
function whenPendingEventsRead(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

/** Reports an answer as lost if the rest of its body was lost before its head could be sent. */
function withoutLostBody(result: RequestResult): RequestResult {
    const unreadBody = result.kind === "answered" ? result.answer.unreadBody : undefined;
    return unreadBody?.destroyed === true && !unreadBody.isComplete
        ? { kind: "own", answer: "answerLost", retryAfterMillis: undefined }
        : result;
}

/** Keeps a connection that is idle open for at least the given time from now. */
function extendIdleTimeout(socket: Socket, idleTimeoutMillis: number): void {
    // While a request is open, the connection has no timeout.
    if (socket.timeout !== undefined && socket.timeout > 0 && socket.timeout < idleTimeoutMillis) {
        socket.setTimeout(idleTimeoutMillis);
    }
}

/**
 * Applies the configured header and idle timeouts to the server. A longer idle timeout holds for idle connections too, since
 * callers may use them by the new limit; a shorter one does not, since the last answer declared the previous limit.
 */
export function applyCallerLimits(
    { server, openConnections }: Pick<CallerServer, "server" | "openConnections">,
    { callerLimits }: TrafficConfiguration
): void {
    const idleTimeoutMillis = callerLimits.idleTimeoutMillis + idleTimeoutMarginMillis;
    server.keepAliveTimeout = idleTimeoutMillis;
    for (const socket of openConnections) {
        extendIdleTimeout(socket, idleTimeoutMillis);
    }
    server.headersTimeout = callerLimits.headerTimeoutMillis;
}
