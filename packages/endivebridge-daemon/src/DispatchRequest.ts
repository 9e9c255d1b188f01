import { type ErrorKind, type HeldSlot, recordLatency } from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import { Result } from "effect";
import { type IncomingMessage, request as openRequest } from "node:http";
import type { BackendConnections } from "./BackendConnections";
import { isHopByHop } from "./HopByHop";
import type { Answer, HeaderLine, SteeringRequest } from "./SteeringRequest";

/** Why a backend server gave no whole answer. */
export interface DispatchFailure {
    readonly kind: ErrorKind;
    readonly reason: "refused" | "unreachable" | "cut" | "silent" | "deadline" | "tooLarge";
    readonly server: string;
    readonly ran: "no" | "maybe";
    readonly retryAfterMillis: number;
}

/** What a dispatch needs besides the request and its slot. */
export interface DispatchOptions {
    readonly connections: BackendConnections;
    readonly heldAnswerBytes: number;
    readonly cancelHoldMillis: number;
    /** Time after which the answer counts as late. */
    readonly lateAfterMillis: number;
    /** Called once when the answer is late; says whether the connection had carried earlier requests. */
    readonly onLate: (onReusedConnection: boolean) => void;
    /** Asked again and again once the answer is late on a connection that may have gone silent. */
    readonly mayAbandon: () => boolean;
    readonly onAnswer: (tookMillis: number, wasLate: boolean) => void;
}

const keptAnswerBytes = 1_048_576;
const watchMillis = 100;

function outgoingHeaders(request: SteeringRequest, address: string, remainingMillis: number): string[] {
    const flat = ["Host", address];
    for (const [name, value] of request.headers) {
        flat.push(name, value);
    }
    flat.push("Endivebridge-Request", request.request);
    flat.push("Endivebridge-Deadline-Millis", String(Math.max(1, Math.floor(remainingMillis))));
    if (request.body.length > 0 || (request.method !== "GET" && request.method !== "HEAD")) {
        flat.push("Content-Length", String(request.body.length));
    }
    return flat;
}

/** What the system itself reads of an answer's head. */
interface AnswerHead {
    readonly lines: readonly HeaderLine[];
    contentLength: string | undefined;
    chunked: boolean;
    notRun: boolean;
    retryAfterSeconds: number;
}

function readAnswerHead(response: IncomingMessage): AnswerHead {
    const lines: HeaderLine[] = [];
    const head: AnswerHead = { lines, contentLength: undefined, chunked: false, notRun: false, retryAfterSeconds: 0 };
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
                lines.push([name, value]);
                break;
            default:
                if (!isHopByHop(name)) {
                    lines.push([name, value]);
                }
        }
    }
    return head;
}

/** An answer whose end nothing marks but the end of its connection cannot be told from a cut one. */
function isFramed(request: SteeringRequest, status: number, head: AnswerHead): boolean {
    return head.contentLength !== undefined
        || head.chunked
        || request.method === "HEAD"
        || status === 204
        || status === 304;
}

/** How a dispatch ended. */
export type DispatchResult = Result.Result<Answer, DispatchFailure>;

/**
 * Starts one request on the backend server whose slot is held, and releases the slot when the server is done with it.
 * The result cancels the request; its slot then stays held for `cancelHoldMillis`.
 */
export function startDispatch(
    options: DispatchOptions,
    request: SteeringRequest,
    slot: HeldSlot,
    done: (result: DispatchResult) => void
): () => void {
    const { server, address, latency } = slot.owned;
    const startedAtMillis = monotonicMillis();
    const remainingMillis = request.deadlineAtMillis - startedAtMillis;
    const separator = address.lastIndexOf(":");
    let connected = false;
    let ended = false;
    let answering = false;
    let streaming = false;
    let late = false;
    const lateTimer = setTimeout(() => {
        late = true;
        options.onLate(outgoing.reusedSocket);
        if (outgoing.reusedSocket) {
            watchTimer = setInterval(abandonIfSilent, watchMillis);
            abandonIfSilent();
        }
    }, options.lateAfterMillis);
    let watchTimer: NodeJS.Timeout | undefined;
    const outgoing = openRequest({
        host: address.slice(0, separator),
        port: Number(address.slice(separator + 1)),
        method: request.method,
        path: request.path,
        headers: outgoingHeaders(request, address, remainingMillis),
        agent: request.idempotent ? options.connections.pooled(server) : options.connections.fresh(server),
        setHost: false
    });

    const stopTimers = () => {
        clearTimeout(deadlineTimer);
        clearTimeout(lateTimer);
        clearInterval(watchTimer);
    };
    const abandonIfSilent = () => {
        if (!ended && !answering && options.mayAbandon()) {
            fail("silent", "serverFailed", "maybe");
        }
    };
    const releaseLater = () => setTimeout(slot.release, options.cancelHoldMillis);
    const fail = (
        reason: DispatchFailure["reason"],
        kind: ErrorKind,
        ran: "no" | "maybe",
        retryAfterMillis = 0
    ) => {
        if (ended) {
            return;
        }
        ended = true;
        stopTimers();
        outgoing.destroy();
        if (ran === "no") {
            slot.release();
        }
        else {
            releaseLater();
        }
        done(Result.fail({ kind, reason, server, ran, retryAfterMillis }));
    };
    const deadlineTimer = setTimeout(() => {
        fail("deadline", connected ? "deadlineInRun" : "deadlineBeforeRun", connected ? "maybe" : "no");
    }, remainingMillis);
    const lost = () =>
        fail(
            connected ? "cut" : "unreachable",
            connected ? "serverFailed" : "noServers",
            connected ? "maybe" : "no"
        );

    const finish = () => {
        ended = true;
        stopTimers();
        const nowMillis = monotonicMillis();
        recordLatency(latency, nowMillis - startedAtMillis, nowMillis);
        options.onAnswer(nowMillis - startedAtMillis, late);
        slot.release();
    };

    outgoing.on("socket", socket => {
        if (socket.connecting) {
            socket.once("connect", () => connected = true);
        }
        else {
            connected = true;
        }
    });
    outgoing.on("error", lost);
    outgoing.on("response", response => {
        answering = true;
        clearInterval(watchTimer);
        const head = readAnswerHead(response);
        if (!isFramed(request, response.statusCode ?? 0, head)) {
            lost();
            return;
        }
        const chunks: Buffer[] = [];
        let length = 0;
        const most = request.idempotent ? options.heldAnswerBytes : keptAnswerBytes;
        const answer = (rest: IncomingMessage | undefined): Answer => ({
            status: response.statusCode ?? 502,
            headers: rest !== undefined && head.contentLength !== undefined
                ? [...head.lines, ["Content-Length", head.contentLength]]
                : head.lines,
            body: Buffer.concat(chunks),
            rest,
            server
        });
        const onData = (chunk: Buffer) => {
            length += chunk.length;
            chunks.push(chunk);
            if (length <= most || ended) {
                return;
            }
            if (!request.idempotent) {
                fail("tooLarge", "answerNotKept", "maybe");
                return;
            }
            ended = true;
            streaming = true;
            stopTimers();
            response.off("data", onData);
            response.pause();
            done(Result.succeed(answer(response)));
        };
        response.on("data", onData);
        response.on("error", lost);
        response.on("close", () => {
            if (streaming) {
                slot.release();
            }
            if (ended) {
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
            finish();
            done(Result.succeed(answer(undefined)));
        });
    });
    outgoing.end(request.body);
    return () => {
        if (!ended) {
            ended = true;
            stopTimers();
            outgoing.destroy();
            releaseLater();
        }
    };
}
