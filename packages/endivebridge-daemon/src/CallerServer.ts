import { errorAnswers, type ErrorKind, steeringError } from "@endivebridge/core";
import {
    claimAnswerMemory,
    claimRequestMemory,
    type ClientLimitOptions,
    makeClientLimits,
    monotonicMillis,
    type RequestMemory
} from "@endivebridge/shared";
import { Effect, Fiber, Queue, Result } from "effect";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { errorAnswer, jsonAnswer, writeAnswer } from "./Answers";
import { readCallerRequest, remoteAddress } from "./CallerRequest";
import type { Context } from "./Context";
import { lookUp } from "./Lookup";
import { handleOperatorRequest } from "./OperatorApi";
import { serveRequest } from "./ServeRequest";
import { type Answer, waitMillisHeader } from "./SteeringRequest";

interface Exchange {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly memory: RequestMemory;
}

interface CallerConnection {
    /** Requests in the order of arrival. The server parses no further ones while many have no answer. */
    readonly queue: Queue.Queue<Exchange>;
    /** Requests whose response is not written yet. */
    readonly openExchanges: Set<Exchange>;
}

const limitLogIntervalMillis = 1_000;
/** Status line for a request that cannot be read, by the error's code. */
function errorStatusLine(code: string | undefined): string {
    return code === "ERR_HTTP_REQUEST_TIMEOUT" ? "408 Request Timeout" : "400 Bad Request";
}

const internalPathPrefix = "/.endivebridge/";

/** The HTTP server that answers callers, operators and health checks. */
export interface CallerServer {
    readonly server: Server;
    /** Number of exchanges whose response is not closed yet. */
    readonly openExchanges: () => number;
    readonly close: () => void;
}

function answerInternalRequest(context: Context, { incoming, memory }: Exchange): Effect.Effect<Answer, never> {
    const url = new URL(incoming.url ?? "/", "http://instance");
    const name = url.pathname.slice(internalPathPrefix.length);
    if (name === "lookup") {
        const client = url.searchParams.get("client") ?? remoteAddress(incoming);
        context.metrics.count("lookups");
        return lookUp(context, url.searchParams.get("service") ?? "", client).pipe(
            Effect.map(lookupAnswer => jsonAnswer(200, lookupAnswer)),
            Effect.catch(error => Effect.succeed(errorAnswer(error, "")))
        );
    }
    if (name === "health") {
        return Effect.succeed(jsonAnswer(200, { alive: true, instance: context.settings.instance }));
    }
    if (name === "ready") {
        const ready = context.configuration.read() !== undefined && !context.shutdown.read();
        return Effect.succeed(jsonAnswer(ready ? 200 : 503, { ready }));
    }
    return handleOperatorRequest(context, incoming, name, memory);
}

/** Counts a request as refused or answered and returns its service's ratio of refused to answered requests. */
function recordOutcome(context: Context, incoming: IncomingMessage, error: ErrorKind | undefined): number {
    const outcomes = context.services.get((incoming.url ?? "").split("/", 2)[1] ?? "")?.outcomeRates;
    outcomes?.count(error === "overloaded" || error === "capReached" ? "refused" : "answered");
    const rates = outcomes?.rates();
    return (rates?.get("refused") ?? 0) / Math.max(1, rates?.get("answered") ?? 1);
}

const answerExchange = (context: Context, exchange: Exchange, request: string): Effect.Effect<Answer> =>
    Effect.gen(function*() {
        const { incoming, memory } = exchange;
        if ((incoming.url ?? "").startsWith(internalPathPrefix)) {
            return yield* answerInternalRequest(context, exchange);
        }
        const startedAtMillis = performance.now();
        const result = yield* Effect.result(
            Effect.flatMap(
                readCallerRequest(context, incoming, request, memory),
                callerRequest => serveRequest(context, callerRequest)
            )
        );
        if (Result.isFailure(result)) {
            const { kind, detail } = result.failure;
            context.metrics.count("errors", { kind });
            if (errorAnswers[kind].ran !== "no") {
                const operation = String(incoming.headers["endivebridge-operation"] ?? "");
                context.timeLine.emit({ kind: "requestInDoubt", request, error: kind, operation });
                context.log.warn(
                    { request, kind, detail, target: incoming.url },
                    "request failed after it may have run"
                );
            }
            const answer = errorAnswer(result.failure, request, recordOutcome(context, incoming, kind));
            const elapsedMillis = performance.now() - startedAtMillis;
            return { ...answer, headers: [...answer.headers, [waitMillisHeader, elapsedMillis.toFixed(1)]] };
        }
        recordOutcome(context, incoming, undefined);
        context.metrics.count("answers");
        context.metrics.timing("answer_millis", performance.now() - startedAtMillis);
        return result.success;
    });

const serveExchange = (context: Context, exchange: Exchange, request: string): Effect.Effect<void> =>
    Effect.gen(function*() {
        const answer = yield* Effect.catchCause(
            answerExchange(context, exchange, request),
            cause =>
                Effect.sync(() => {
                    context.log.error(
                        { request, cause: String(cause) },
                        "unexpected failure while serving request; answering with an internal error"
                    );
                    return errorAnswer(steeringError("internal"), request);
                })
        );
        if (context.shutdown.read() || !exchange.incoming.complete) {
            exchange.response.setHeader("Connection", "close");
        }
        const cutUnread = () => exchange.response.destroy();
        claimAnswerMemory(context.clientMemory, exchange.response, answer.body.length, cutUnread);
        const streaming = writeAnswer(exchange.response, answer, request);
        if (streaming !== undefined) {
            yield* Effect.promise(() => streaming);
        }
    });

/** Serves the requests of one caller connection one at a time, in order of arrival, until interrupted. */
const serveConnection = (context: Context, exchangeQueue: Queue.Queue<Exchange>, name: string): Effect.Effect<never> =>
    Effect.gen(function*() {
        for (let requestNumber = 1;; requestNumber += 1) {
            const exchange = yield* Queue.take(exchangeQueue);
            yield* serveExchange(context, exchange, `${name}-${requestNumber}`);
        }
    });

/** Counts the connections that a limit closes, and logs them at most once in an interval. */
function makeLimitLog(context: Context): ClientLimitOptions["onClose"] {
    let loggedMillis = -Infinity;
    let closedCount = 0;
    return (limit, openConnections, claimedBytes) => {
        closedCount += 1;
        context.metrics.count("limited_connections", { limit });
        const nowMillis = monotonicMillis();
        if (nowMillis - loggedMillis >= limitLogIntervalMillis) {
            context.log.warn(
                { limit, openConnections, claimedBytes, closedCount },
                "callers hold more than the limit; closing connections"
            );
            loggedMillis = nowMillis;
            closedCount = 0;
        }
    };
}

/** Starts the HTTP server. Each connection has its own task, which is interrupted when the connection closes. */
export function openCallerServer(context: Context): Promise<CallerServer> {
    const { limits, callers } = context.settings;
    const clientLimits = makeClientLimits({
        maxConnections: limits.callerConnections,
        memory: context.clientMemory,
        onClose: makeLimitLog(context)
    });
    const connections = new WeakMap<Socket, CallerConnection>();
    let connectionCount = 0;
    let openExchangeCount = 0;
    const server = createServer({
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headTimeoutMillis,
        requestTimeout: limits.bodyTimeoutMillis,
        keepAliveTimeout: limits.idleConnectionMillis,
        connectionsCheckingInterval: 1_000,
        // Refusals of the server itself would not count as unanswered requests.
        requireHostHeader: false
    });
    clientLimits.register(server);
    const endExchange = (connection: CallerConnection, exchange: Exchange) => {
        if (connection.openExchanges.delete(exchange)) {
            openExchangeCount -= 1;
            exchange.memory.release();
        }
    };
    server.on("connection", socket => {
        connectionCount += 1;
        const queue = Effect.runSync(Queue.unbounded<Exchange>());
        const connection: CallerConnection = { queue, openExchanges: new Set() };
        connections.set(socket, connection);
        const name = `${context.settings.instance}-${context.incarnation}-${connectionCount}`;
        const task = context.fork(serveConnection(context, queue, name));
        socket.on("close", () => {
            // Node emits `close` only on the first response of a connection, not on those of requests behind it.
            connection.openExchanges.forEach(exchange => endExchange(connection, exchange));
            Effect.runFork(Fiber.interrupt(task));
        });
    });
    server.on("request", (incoming, response) => {
        const connection = connections.get(incoming.socket);
        if (connection === undefined) {
            response.destroy();
            return;
        }
        const exchange: Exchange = {
            incoming,
            response,
            memory: claimRequestMemory(context.clientMemory, incoming)
        };
        openExchangeCount += 1;
        connection.openExchanges.add(exchange);
        response.on("close", () => endExchange(connection, exchange));
        Queue.offerUnsafe(connection.queue, exchange);
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const statusLine = errorStatusLine(error.code);
        context.log.debug({ code: error.message, statusLine }, "HTTP request not readable; closing the connection");
        if (socket.writableEnded) {
            // Bytes that arrive while the connection lingers.
            return;
        }
        if (socket.writable) {
            clientLimits.closeWithLinger(
                socket as Socket,
                `HTTP/1.1 ${statusLine}\r\nEndivebridge-Error: badRequest\r\nEndivebridge-Ran: no\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`
            );
        }
        else {
            socket.destroy();
        }
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(callers.port, callers.host, () =>
            resolve({
                server,
                openExchanges: () => openExchangeCount,
                close: () => {
                    server.close();
                    server.closeIdleConnections();
                }
            }));
    });
}
