import { errorAnswers, type ErrorKind, steeringError } from "@endivebridge/core";
import { Effect, Fiber, Queue, Result } from "effect";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { errorAnswer, jsonAnswer, writeAnswer } from "./Answers";
import { readCallerRequest, remoteAddress } from "./CallerRequest";
import type { Context } from "./Context";
import { lookUp } from "./Lookup";
import { answerOperator } from "./OperatorApi";
import { serveRequest } from "./ServeRequest";
import { type Answer, waitHeader } from "./SteeringRequest";

interface Exchange {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
}

const ownPrefix = "/.endivebridge/";

/** A listening server for callers, operators and health checks. */
export interface CallerServer {
    readonly server: Server;
    /** Exchanges that are not finished. */
    readonly open: () => number;
    readonly close: () => void;
}

function answerOwn(context: Context, incoming: IncomingMessage): Effect.Effect<Answer, never> {
    const url = new URL(incoming.url ?? "/", "http://instance");
    const name = url.pathname.slice(ownPrefix.length);
    if (name === "lookup") {
        const client = url.searchParams.get("client") ?? remoteAddress(incoming);
        context.metrics.count("lookups");
        return lookUp(context, url.searchParams.get("service") ?? "", client).pipe(
            Effect.map(found => jsonAnswer(200, found)),
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
    return answerOperator(context, incoming, name);
}

/** Counts how a request ended; gives its service's ratio of refused to answered requests. */
function notePressure(context: Context, incoming: IncomingMessage, error: ErrorKind | undefined): number {
    const outcomes = context.services.get((incoming.url ?? "").split("/", 2)[1] ?? "")?.outcomes;
    outcomes?.count(error === "overloaded" || error === "capReached" ? "refused" : "answered");
    const rates = outcomes?.rates();
    return (rates?.get("refused") ?? 0) / Math.max(1, rates?.get("answered") ?? 1);
}

const answerExchange = (context: Context, incoming: IncomingMessage, request: string): Effect.Effect<Answer> =>
    Effect.gen(function*() {
        if ((incoming.url ?? "").startsWith(ownPrefix)) {
            return yield* answerOwn(context, incoming);
        }
        const startedAtMillis = performance.now();
        const result = yield* Effect.result(
            Effect.flatMap(readCallerRequest(context, incoming, request), read => serveRequest(context, read))
        );
        if (Result.isFailure(result)) {
            const { kind, detail } = result.failure;
            context.metrics.count("errors", { kind });
            if (errorAnswers[kind].ran !== "no") {
                const operation = String(incoming.headers["endivebridge-operation"] ?? "");
                context.timeLine.emit({ kind: "requestInDoubt", request, error: kind, operation });
                context.log.warn({ request, kind, detail, target: incoming.url }, "request in doubt");
            }
            const answer = errorAnswer(result.failure, request, notePressure(context, incoming, kind));
            const insideMillis = performance.now() - startedAtMillis;
            return { ...answer, headers: [...answer.headers, [waitHeader, insideMillis.toFixed(1)]] };
        }
        notePressure(context, incoming, undefined);
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
                    context.log.error({ request, cause: String(cause) }, "request failed unexpectedly");
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

/** Serves one caller's connection, request after request, until interrupted. */
const connectionTask = (context: Context, inbox: Queue.Queue<Exchange>, name: string): Effect.Effect<never> =>
    Effect.gen(function*() {
        for (let count = 1;; count += 1) {
            const exchange = yield* Queue.take(inbox);
            yield* serveExchange(context, exchange, `${name}-${count}`);
        }
    });

/** Listens for callers; each connection has a task of its own, interrupted when the connection ends. */
export function openCallerServer(context: Context): Promise<CallerServer> {
    const { limits, callers } = context.settings;
    const inboxes = new WeakMap<Socket, Queue.Queue<Exchange>>();
    let connections = 0;
    let open = 0;
    const server = createServer({
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headTimeoutMillis,
        requestTimeout: limits.bodyTimeoutMillis,
        keepAliveTimeout: limits.idleConnectionMillis,
        connectionsCheckingInterval: 1_000
    });
    server.maxConnections = limits.callerConnections;
    server.on("connection", socket => {
        connections += 1;
        const inbox = Effect.runSync(Queue.unbounded<Exchange>());
        inboxes.set(socket, inbox);
        const name = `${context.settings.instance}-${context.incarnation}-${connections}`;
        const task = context.fork(connectionTask(context, inbox, name));
        socket.on("close", () => Effect.runFork(Fiber.interrupt(task)));
    });
    server.on("request", (incoming, response) => {
        open += 1;
        response.on("close", () => open -= 1);
        const inbox = inboxes.get(incoming.socket);
        if (inbox === undefined) {
            response.destroy();
            return;
        }
        Queue.offerUnsafe(inbox, { incoming, response });
    });
    server.on("clientError", (error, socket) => {
        context.log.debug({ code: error.message }, "request that cannot be read");
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
                open: () => open,
                close: () => {
                    server.close();
                    server.closeIdleConnections();
                }
            }));
    });
}
