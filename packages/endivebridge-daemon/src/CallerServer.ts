import { errorAnswers, type ErrorKind, steeringError } from "@endivebridge/core";
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
}

interface CallerConnection {
    /** Requests in the order of arrival. */
    readonly queue: Queue.Queue<Exchange>;
    /** Requests whose response is not written yet. */
    readonly openExchanges: Set<Exchange>;
}

const internalPathPrefix = "/.endivebridge/";

/** The HTTP server that answers callers, operators and health checks. */
export interface CallerServer {
    readonly server: Server;
    /** Number of exchanges whose response is not closed yet. */
    readonly openExchanges: () => number;
    readonly close: () => void;
}

function answerInternalRequest(context: Context, incoming: IncomingMessage): Effect.Effect<Answer, never> {
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
    return handleOperatorRequest(context, incoming, name);
}

/** Counts a request as refused or answered and returns its service's ratio of refused to answered requests. */
function recordOutcome(context: Context, incoming: IncomingMessage, error: ErrorKind | undefined): number {
    const outcomes = context.services.get((incoming.url ?? "").split("/", 2)[1] ?? "")?.outcomeRates;
    outcomes?.count(error === "overloaded" || error === "capReached" ? "refused" : "answered");
    const rates = outcomes?.rates();
    return (rates?.get("refused") ?? 0) / Math.max(1, rates?.get("answered") ?? 1);
}

const answerExchange = (context: Context, incoming: IncomingMessage, request: string): Effect.Effect<Answer> =>
    Effect.gen(function*() {
        if ((incoming.url ?? "").startsWith(internalPathPrefix)) {
            return yield* answerInternalRequest(context, incoming);
        }
        const startedAtMillis = performance.now();
        const result = yield* Effect.result(
            Effect.flatMap(
                readCallerRequest(context, incoming, request),
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
            answerExchange(context, exchange.incoming, request),
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

/** Starts the HTTP server. Each connection has its own task, which is interrupted when the connection closes. */
export function openCallerServer(context: Context): Promise<CallerServer> {
    const { limits, callers } = context.settings;
    const connections = new WeakMap<Socket, CallerConnection>();
    let connectionCount = 0;
    let openExchangeCount = 0;
    const server = createServer({
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headTimeoutMillis,
        requestTimeout: limits.bodyTimeoutMillis,
        keepAliveTimeout: limits.idleConnectionMillis,
        connectionsCheckingInterval: 1_000
    });
    server.maxConnections = limits.callerConnections;
    const endExchange = (connection: CallerConnection, exchange: Exchange) => {
        if (connection.openExchanges.delete(exchange)) {
            openExchangeCount -= 1;
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
        const exchange: Exchange = { incoming, response };
        openExchangeCount += 1;
        connection.openExchanges.add(exchange);
        response.on("close", () => endExchange(connection, exchange));
        Queue.offerUnsafe(connection.queue, exchange);
    });
    server.on("clientError", (error, socket) => {
        context.log.debug({ code: error.message }, "malformed HTTP request; answering 400 and closing the connection");
        if (socket.writable) {
            socket.end(
                "HTTP/1.1 400 Bad Request\r\nEndivebridge-Error: badRequest\r\nEndivebridge-Ran: no\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
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
