import { monotonicMillis } from "@endivebridge/shared";
import type { AttemptAgeEstimator, RouteTable, TrafficConfiguration, TrafficSplit } from "@endivebridge/traffic";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { pipeline } from "node:stream";
import { type CallerRequest, endToEndHeaders, makeCallerRequest } from "./CallerRequest";
import type { Dialect } from "./Dialect";
import type { EventLog } from "./EventLog";
import type { ServerAnswer } from "./Exchange";
import { type FinalAnswerKind, finalAnswers } from "./FinalAnswers";
import type { GatewayMetrics } from "./GatewayMetrics";
import type { RequestResult, RoutedRequest, RunningRequest } from "./RunRequest";

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
    readonly run: (routed: RoutedRequest) => RunningRequest;
    /** Whether the instance is shutting down, so that callers should open their next connection elsewhere. */
    readonly isLeaving: () => boolean;
    /** Whether a new request can no longer be finished before the process ends. */
    readonly isRefusingRequests: () => boolean;
    readonly log: EventLog;
    readonly metrics: GatewayMetrics;
}

/** The HTTP server for callers and its number of open requests. */
export interface CallerServer {
    readonly server: Server;
    readonly openRequests: () => number;
}

/** Limit on request bodies buffered by all requests together; requests beyond it are refused. */
const maxBufferedBodyBytes = 67_108_864;
/** Idle connections stay open longer than declared, so that none closes while a timely request is under way to it. */
const idleTimeoutMarginMillis = 1_000;
const initialIdleTimeoutMillis = 60_000;
/**
 * Retry-After of every 503 that is decided before the request runs. The usual cause is a configuration that is not
 * loaded yet, and loading usually takes less than this.
 */
const earlyRefusalRetryMillis = 300;

/** Creates the server for callers without listening. */
export function makeCallerServer(parts: CallerServerParts): CallerServer {
    let openRequests = 0;
    let bufferedBytes = 0;

    const readBody = (
        message: IncomingMessage,
        maxBodyBytes: number
    ): Promise<Buffer | "too large" | "disconnected" | "full"> => {
        if (message.headers["content-length"] === undefined && message.headers["transfer-encoding"] === undefined) {
            message.resume();
            return Promise.resolve(Buffer.alloc(0));
        }
        return new Promise(resolve => {
            const chunks: Buffer[] = [];
            let length = 0;
            message.on("data", (chunk: Buffer) => {
                length += chunk.length;
                bufferedBytes += chunk.length;
                if (length > maxBodyBytes || bufferedBytes > maxBufferedBodyBytes) {
                    message.removeAllListeners("data");
                    message.resume();
                    resolve(length > maxBodyBytes ? "too large" : "full");
                    return;
                }
                chunks.push(chunk);
            });
            message.on("end", () => resolve(Buffer.concat(chunks)));
            message.on("close", () => resolve("disconnected"));
            message.on("error", () => resolve("disconnected"));
            message.once("close", () => bufferedBytes -= length);
        });
    };

    const sendFinalAnswer = (
        response: ServerResponse,
        requestId: string | undefined,
        kind: FinalAnswerKind,
        retryAfterMillis: number | undefined
    ) => {
        const { status, meaning } = finalAnswers[kind];
        const body = `${JSON.stringify({ error: meaning })}\n`;
        response.writeHead(status, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(body),
            ...requestId === undefined ? {} : { [parts.dialect.requestIdHeader]: requestId },
            ...retryAfterMillis === undefined ? {} : { "Retry-After": (retryAfterMillis / 1_000).toFixed(3) },
            ...parts.isLeaving() ? { "Connection": "close" } : {}
        });
        response.end(body);
    };

    const sendAnswer = (response: ServerResponse, method: string, answer: ServerAnswer) => {
        const headers = endToEndHeaders(answer.rawHeaders, answer.headers.connection);
        const flat = headers.flatMap(([name, value]) => [name, value]);
        if (parts.isLeaving()) {
            flat.push("Connection", "close");
        }
        if (answer.unreadBody !== undefined) {
            const declared = answer.headers["content-length"];
            response.writeHead(
                answer.status,
                declared === undefined ? flat : [...flat, "Content-Length", declared]
            );
            response.write(answer.body);
            // Closes both connections if either ends early.
            pipeline(answer.unreadBody, response, () => undefined);
            return;
        }
        const hasBody = answer.status !== 204 && answer.status !== 304;
        if (!answer.hasDeclaredLength && hasBody && method !== "HEAD") {
            // The end of the connection delimits this body; a Content-Length would make a truncated body look complete.
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
            response.writeHead(answer.status, flat);
            response.end(answer.body);
            return;
        }
        const length = method === "HEAD" ? answer.headers["content-length"] : String(answer.body.length);
        response.writeHead(answer.status, hasBody && length !== undefined ? [...flat, "Content-Length", length] : flat);
        response.end(hasBody ? answer.body : undefined);
    };

    const route = (request: CallerRequest, arrivedMillis: number): RoutedRequest | FinalAnswerKind => {
        const inForce = parts.configuration();
        if (inForce === undefined) {
            return "notReady";
        }
        if (parts.isRefusingRequests()) {
            return "leaving";
        }
        const matched = inForce.routes.match(request.host, request.path);
        if (matched === undefined) {
            return "noRoute";
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
                sinceFirstAttemptMillis: parts.attemptAgeEstimator.sinceFirstMillis(
                    matched.name,
                    request.patienceMillis
                )
            };
    };

    const logResult = (
        request: CallerRequest,
        routed: RoutedRequest | undefined,
        result: RequestResult,
        at: number
    ) => {
        const tookMillis = monotonicMillis() - at;
        const outcome = result.kind === "own" ? result.answer : result.kind;
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
            ...result.kind === "answered" ? { status: result.answer.status, ...result.send } : {},
            ...result.kind === "own"
                ? { status: finalAnswers[result.answer].status, retryAfterMillis: result.retryAfterMillis }
                : {}
        };
        if (result.kind === "answered" && result.answer.status < 500) {
            parts.log.info("answered", fields, "request answered");
        }
        else {
            parts.log.info(`failed ${outcome}`, fields, "request not served");
        }
    };

    const handle = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
        const limits = parts.configuration()?.configuration.callerLimits;
        const body = await readBody(message, limits?.bodyBytes ?? maxBufferedBodyBytes);
        const arrivedMillis = monotonicMillis();
        if (body === "disconnected") {
            return;
        }
        const stateComplete = parts.whenStateComplete();
        if (stateComplete !== undefined) {
            await stateComplete;
            if (response.destroyed) {
                return;
            }
        }
        const request = makeCallerRequest(parts.dialect, message, Buffer.isBuffer(body) ? body : Buffer.alloc(0));
        const routed = body === "too large"
            ? "bodyTooLarge"
            : body === "full"
            ? "overloaded"
            : route(request, arrivedMillis);
        if (typeof routed === "string") {
            const retryAfterMillis = finalAnswers[routed].status === 503 ? earlyRefusalRetryMillis : undefined;
            sendFinalAnswer(response, request.id, routed, retryAfterMillis);
            logResult(request, undefined, { kind: "own", answer: routed, retryAfterMillis }, arrivedMillis);
            return;
        }
        const running = parts.run(routed);
        response.on("close", () => {
            if (!response.writableFinished) {
                running.abandon();
            }
        });
        const result = await running.result;
        if (result.kind === "answered" && !response.destroyed) {
            sendAnswer(response, request.method, result.answer);
        }
        if (result.kind === "own" && !response.destroyed) {
            sendFinalAnswer(response, request.id, result.answer, result.retryAfterMillis);
        }
        logResult(request, routed, result, arrivedMillis);
    };

    const server = createServer({ keepAliveTimeout: initialIdleTimeoutMillis, noDelay: true }, (message, response) => {
        openRequests += 1;
        response.sendDate = false;
        response.once("close", () => openRequests -= 1);
        handle(message, response).catch((error: unknown) => {
            parts.log.error("fault", { error: String(error) }, "unexpected error while responding to a caller");
            response.destroy();
        });
    });
    server.on("clientError", (error, socket) => {
        parts.log.info("bad request", { error: error.message }, "caller connection closed after a protocol error");
        if (socket.writable) {
            socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        }
        else {
            socket.destroy();
        }
    });
    return { server, openRequests: () => openRequests };
}

/** Applies the configured header and idle timeouts to the server. */
export function applyCallerLimits(server: Server, { callerLimits }: TrafficConfiguration): void {
    server.keepAliveTimeout = callerLimits.idleTimeoutMillis + idleTimeoutMarginMillis;
    server.headersTimeout = callerLimits.headerTimeoutMillis;
    server.requestTimeout = 0;
}
