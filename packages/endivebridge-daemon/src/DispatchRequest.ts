import { type ErrorKind, type HeldSlot, recordLatency } from "@endivebridge/core";
import {
    isFinalStatus,
    limitBytesWithoutProgress,
    makeByteCollector,
    MessageBody,
    monotonicMillis
} from "@endivebridge/shared";
import { Result } from "effect";
import { type IncomingMessage, request as openRequest } from "node:http";
import type { BackendConnections } from "./BackendConnections";
import { isHopByHopHeader } from "./HopByHopHeader";
import type { Answer, HeaderLine, SteeringRequest } from "./SteeringRequest";

/** Why a dispatch ended without a complete answer, and whether the request may have run. */
export interface DispatchFailure {
    readonly kind: ErrorKind;
    readonly reason: "refused" | "unreachable" | "cut" | "silent" | "deadline" | "tooLarge";
    readonly server: string;
    /** host:port of the server. */
    readonly address: string;
    readonly ran: "no" | "maybe";
    readonly retryAfterMillis: number;
}

/** Connections, limits and callbacks of a dispatch. */
export interface DispatchOptions {
    readonly connections: BackendConnections;
    readonly heldAnswerBytes: number;
    readonly cancelHoldMillis: number;
    /** Time after which the answer counts as late. */
    readonly lateThresholdMillis: number;
    /** Called once when the answer is late, with whether the connection had carried earlier requests. */
    readonly onLate: (isReusedConnection: boolean) => void;
    /** Polled once the answer is late on a reused connection, which may be dead; true abandons the request. */
    readonly canAbandon: () => boolean;
    readonly onAnswer: (tookMillis: number, isLate: boolean) => void;
    /** Receives whether the new connection could be opened, unless the dispatch uses a kept one. */
    readonly onConnection: (isOpen: boolean) => void;
}

const maxRetainedAnswerBytes = 1_048_576;
const silenceCheckIntervalMillis = 100;

function makeOutgoingHeaders(request: SteeringRequest, address: string, remainingMillis: number): string[] {
    const flatHeaders = ["Host", address];
    for (const [name, value] of request.headers) {
        flatHeaders.push(name, value);
    }
    flatHeaders.push("Endivebridge-Request", request.request);
    flatHeaders.push("Endivebridge-Deadline-Millis", String(Math.max(1, Math.floor(remainingMillis))));
    if (request.body.length > 0 || (request.method !== "GET" && request.method !== "HEAD")) {
        flatHeaders.push("Content-Length", String(request.body.length));
    }
    return flatHeaders;
}

/** Response headers: those to return to the caller, and the values that the entry instance uses itself. */
interface AnswerHead {
    readonly headerLines: readonly HeaderLine[];
    contentLength: string | undefined;
    chunked: boolean;
    notRun: boolean;
    retryAfterSeconds: number;
}

function parseAnswerHead(response: IncomingMessage): AnswerHead {
    const headerLines: HeaderLine[] = [];
    const head: AnswerHead = {
        headerLines,
        contentLength: undefined,
        chunked: false,
        notRun: false,
        retryAfterSeconds: 0
    };
    const { rawHeaders } = response;
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!;
        const value = rawHeaders[index + 1]!;
        switch (name.toLowerCase()) {
            case "content-length":
                head.contentLength = value;
                break;
            case "transfer-encoding":
                head.chunked = true;
                break;
            case "request-not-run":
                head.notRun = response.statusCode === 503;
                break;
            case "retry-after":
                head.retryAfterSeconds = Number(value) || 0;
                headerLines.push([name, value]);
                break;
            default:
                if (!isHopByHopHeader(name)) {
                    headerLines.push([name, value]);
                }
        }
    }
    return head;
}

/** Whether the answer's end is marked. One that ends with its connection can't be told from a truncated one. */
function isFramed(request: SteeringRequest, status: number, head: AnswerHead): boolean {
    return head.contentLength !== undefined
        || head.chunked
        || request.method === "HEAD"
        || status === 204
        || status === 304;
}

/** A complete answer, or why there is none. */
export type DispatchResult = Result.Result<Answer, DispatchFailure>;

/**
 * Sends a request to the backend server whose slot is held, and releases the slot when the server has finished it.
 * The returned function cancels the request; its slot then stays held for `cancelHoldMillis`.
 */
export function startDispatch(
    options: DispatchOptions,
    request: SteeringRequest,
    slot: HeldSlot,
    onResult: (result: DispatchResult) => void
): () => void {
    const { server, address, latency } = slot.owned;
    const startedAtMillis = monotonicMillis();
    const remainingMillis = request.deadlineAtMillis - startedAtMillis;
    const separator = address.lastIndexOf(":");
    let isConnected = false;
    let isConnecting = false;
    let isEnded = false;
    let hasResponse = false;
    let isComplete = () => false;
    let isStreaming = false;
    let late = false;
    const lateTimer = setTimeout(() => {
        late = true;
        options.onLate(outgoing.reusedSocket);
        if (outgoing.reusedSocket) {
            silenceTimer = setInterval(abandonIfSilent, silenceCheckIntervalMillis);
            abandonIfSilent();
        }
    }, options.lateThresholdMillis);
    let silenceTimer: NodeJS.Timeout | undefined;
    const outgoing = openRequest({
        host: address.slice(0, separator),
        port: Number(address.slice(separator + 1)),
        method: request.method,
        path: request.path,
        headers: makeOutgoingHeaders(request, address, remainingMillis),
        agent: request.idempotent ? options.connections.pooled(server) : options.connections.unpooled(server),
        setHost: false
    });

    const stopTimers = () => {
        clearTimeout(deadlineTimer);
        clearTimeout(lateTimer);
        clearInterval(silenceTimer);
        progressLimit.stop();
    };
    const abandonIfSilent = () => {
        if (!isEnded && !hasResponse && options.canAbandon()) {
            fail("silent", "serverFailed", "maybe");
        }
    };
    const releaseAfterHold = () => setTimeout(slot.release, options.cancelHoldMillis);
    const fail = (
        reason: DispatchFailure["reason"],
        kind: ErrorKind,
        ran: "no" | "maybe",
        retryAfterMillis = 0
    ) => {
        if (isEnded) {
            return;
        }
        isEnded = true;
        stopTimers();
        if (isConnecting) {
            options.onConnection(false);
        }
        outgoing.destroy();
        if (ran === "no") {
            slot.release();
        }
        else {
            releaseAfterHold();
        }
        onResult(Result.fail({ kind, reason, server, address, ran, retryAfterMillis }));
    };
    const deadlineTimer = setTimeout(() => {
        fail("deadline", isConnected ? "deadlineInRun" : "deadlineBeforeRun", isConnected ? "maybe" : "no");
    }, remainingMillis);
    const lost = () =>
        fail(
            isConnected ? "cut" : "unreachable",
            isConnected ? "serverFailed" : "noServers",
            isConnected ? "maybe" : "no"
        );

    const progressLimit = limitBytesWithoutProgress(outgoing, lost);

    const completeDispatch = () => {
        isEnded = true;
        stopTimers();
        const nowMillis = monotonicMillis();
        recordLatency(latency, nowMillis - startedAtMillis, nowMillis);
        options.onAnswer(nowMillis - startedAtMillis, late);
        slot.release();
    };

    outgoing.on("socket", socket => {
        if (socket.connecting) {
            isConnecting = true;
            socket.once("connect", () => {
                isConnecting = false;
                isConnected = true;
                options.onConnection(true);
            });
        }
        else {
            isConnected = true;
        }
    });
    outgoing.on("error", () => {
        // Invalid bytes that follow a complete response do not invalidate it.
        if (!isComplete()) {
            lost();
        }
    });
    outgoing.on("close", () => {
        // An unrequested switch of protocols closes the connection without an error.
        if (!hasResponse) {
            lost();
        }
    });
    outgoing.on("response", response => {
        hasResponse = true;
        isComplete = () => response.complete;
        progressLimit.recordProgress();
        clearInterval(silenceTimer);
        const head = parseAnswerHead(response);
        if (!isFinalStatus(response.statusCode) || !isFramed(request, response.statusCode ?? 0, head)) {
            lost();
            return;
        }
        const held = makeByteCollector();
        const maxBufferedBytes = request.idempotent ? options.heldAnswerBytes : maxRetainedAnswerBytes;
        const answer = (remainingBody: MessageBody | undefined): Answer => ({
            status: response.statusCode ?? 502,
            headers: remainingBody !== undefined && head.contentLength !== undefined
                ? [...head.headerLines, ["Content-Length", head.contentLength]]
                : head.headerLines,
            body: held.take(),
            remainingBody,
            server
        });
        const onData = (chunk: Buffer) => {
            progressLimit.recordProgress();
            if (!isEnded) {
                held.append(chunk);
            }
            if (held.length() <= maxBufferedBytes || isEnded) {
                return;
            }
            if (head.notRun) {
                fail("refused", "overloaded", "no", head.retryAfterSeconds * 1_000);
                return;
            }
            if (!request.idempotent) {
                fail("tooLarge", "answerNotKept", "maybe");
                return;
            }
            isEnded = true;
            isStreaming = true;
            stopTimers();
            const bodyTimer = setTimeout(
                () => response.destroy(),
                Math.max(0, request.deadlineAtMillis - monotonicMillis())
            );
            response.once("close", () => clearTimeout(bodyTimer));
            response.off("data", onData);
            onResult(Result.succeed(answer(new MessageBody(response))));
        };
        response.on("data", onData);
        response.on("error", lost);
        response.on("close", () => {
            if (isStreaming) {
                slot.release();
            }
            if (isEnded) {
                return;
            }
            if (!response.complete) {
                lost();
                return;
            }
            if (head.notRun) {
                fail("refused", "overloaded", "no", head.retryAfterSeconds * 1_000);
                return;
            }
            completeDispatch();
            onResult(Result.succeed(answer(undefined)));
        });
    });
    outgoing.end(request.body);
    return () => {
        if (!isEnded) {
            isEnded = true;
            stopTimers();
            outgoing.destroy();
            releaseAfterHold();
        }
    };
}
