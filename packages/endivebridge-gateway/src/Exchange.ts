import {
    isFinalStatus,
    limitBytesWithoutProgress,
    makeByteCollector,
    MessageBody,
    monotonicMillis
} from "@endivebridge/shared";
import { type IncomingMessage, request as openRequest } from "node:http";
import type { Dialect } from "./Dialect";
import { registerHiddenResetListener } from "./RegisterHiddenResetListener";
import type { ServerConnections } from "./ServerConnections";

/** Address, content and connect timeout of one send to a backend server. */
export interface ExchangeCall {
    readonly host: string;
    readonly port: number;
    readonly connections: ServerConnections;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer;
    readonly requestId: string | undefined;
    readonly connectTimeoutMillis: number;
    /** Receives whether the new connection could be opened, unless the send uses a kept one. */
    readonly onConnection?: (isOpen: boolean) => void;
}

/** Outcome of a send. */
export type ExchangeOutcome =
    | { readonly kind: "answered"; readonly answer: ServerAnswer; }
    /** No byte of the request left this instance. */
    | { readonly kind: "unreachable"; readonly detail: string; }
    /** The server may have run the request; no complete answer arrived. */
    | { readonly kind: "lost"; readonly detail: string; readonly wasReset: boolean; }
    | { readonly kind: "cancelled"; readonly mayHaveRun: boolean; };

/** A backend server's answer whose request id matches the request. */
export interface ServerAnswer {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    /** Alternating names and values, as the server sent them. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    /** Unread remainder of a response that is too large to be buffered. */
    readonly unreadBody: MessageBody | undefined;
    readonly isNotExecuted: boolean;
    readonly isSigned: boolean;
    /** Whether the response is framed by a length or chunks; otherwise a truncated body cannot be detected. */
    readonly hasDeclaredLength: boolean;
}

/** A send in flight. */
export interface Exchange {
    readonly outcome: Promise<ExchangeOutcome>;
    /** Whether the request may have left this instance. */
    readonly mayHaveRun: () => boolean;
    /** Closes the connection, upon which the server drops the request. */
    readonly cancel: () => void;
}

/** Responses up to this size are buffered until complete, so that a truncated one never looks complete. */
const heldAnswerBytes = 262_144;

/** Status of a server that the request does not name. */
export const misdirectedRequestStatus = 421;

/** Sends a request once; resolves with the answer when it is complete or exceeds the buffer limit. */
export function startExchange(dialect: Dialect, call: ExchangeCall): Exchange {
    let wasSent = false;
    let isConnecting = false;
    let isSettled = false;
    let settle: (outcome: ExchangeOutcome) => void = () => undefined;
    const outcome = new Promise<ExchangeOutcome>(resolve => settle = resolve);
    let response: IncomingMessage | undefined;

    call.connections.closeStale(monotonicMillis());
    const request = openRequest({
        host: call.host,
        port: call.port,
        agent: call.connections,
        method: call.method,
        path: call.path,
        headers: call.headers as Record<string, string | string[]>,
        setHost: false
    });

    const finish = (result: ExchangeOutcome) => {
        if (!isSettled) {
            isSettled = true;
            clearTimeout(connectTimer);
            progressLimit.stop();
            settle(result);
        }
    };
    const fail = (detail: string, wasReset: boolean) => {
        if (isConnecting && !isSettled) {
            call.onConnection?.(false);
        }
        finish(wasSent ? { kind: "lost", detail, wasReset } : { kind: "unreachable", detail });
        request.destroy();
    };
    const connectTimer = setTimeout(() => fail("connection timed out", false), call.connectTimeoutMillis);

    const progressLimit = limitBytesWithoutProgress(request, () => fail("bytes that are no response", false));

    request.on("socket", socket => {
        const onConnected = () => {
            clearTimeout(connectTimer);
            wasSent = true;
        };
        if (socket.connecting) {
            isConnecting = true;
            socket.once("connect", () => {
                isConnecting = false;
                onConnected();
                call.onConnection?.(true);
            });
        }
        else {
            onConnected();
        }
    });
    request.on("error", (error: NodeJS.ErrnoException) => {
        // Invalid bytes that follow a complete response do not invalidate it.
        if (response?.complete !== true) {
            fail(error.message, error.code === "ECONNRESET" || error.code === "EPIPE");
            // Otherwise Node reports a response without a length as complete after a reset.
            response?.destroy(error);
        }
    });
    request.on("close", () => {
        // An unrequested switch of protocols closes the connection without an error.
        if (response === undefined) {
            fail("connection closed without a response", false);
        }
    });
    request.on("response", incoming => {
        response = incoming;
        progressLimit.recordProgress();
        const { headers } = incoming;
        const status = incoming.statusCode ?? 0;
        if (!isFinalStatus(status)) {
            fail(`invalid status ${status}`, false);
            return;
        }
        const answeredId = headers[dialect.requestIdHeader];
        const isNotExecuted = headers[dialect.notExecutedHeader] !== undefined || status === misdirectedRequestStatus;
        // A late response to an earlier request carries that request's id, or none if it is a refusal.
        const isForThisRequest = answeredId === call.requestId
            || (answeredId === undefined && isNotExecuted && !request.reusedSocket);
        if (!isForThisRequest) {
            fail("answer belongs to another request", false);
            return;
        }
        const hasDeclaredLength = headers["content-length"] !== undefined
            || headers["transfer-encoding"] !== undefined;
        const hasBody = call.method !== "HEAD" && status !== 204 && status !== 304;
        if (!hasDeclaredLength && hasBody) {
            const unregister = registerHiddenResetListener(incoming, () => {
                incoming.complete = false;
                const error = new Error("connection reset within a response without a length");
                fail(error.message, true);
                incoming.destroy(error);
            });
            incoming.once("close", unregister);
        }
        const held = makeByteCollector();
        const answer = (unreadBody: MessageBody | undefined): ServerAnswer => ({
            status,
            headers,
            rawHeaders: incoming.rawHeaders,
            body: held.take(),
            unreadBody,
            isNotExecuted,
            isSigned: headers[dialect.signatureHeader] !== undefined,
            hasDeclaredLength
        });
        const onData = (chunk: Buffer) => {
            progressLimit.recordProgress();
            held.append(chunk);
            if (held.length() > heldAnswerBytes) {
                if (isNotExecuted) {
                    // The head alone tells that the request did not run; the body is not returned to the caller.
                    finish({ kind: "answered", answer: answer(undefined) });
                    request.destroy();
                    return;
                }
                if (headers[dialect.signatureHeader] === undefined) {
                    fail("answer without a signature exceeds the buffer limit", false);
                    return;
                }
                incoming.off("data", onData);
                finish({ kind: "answered", answer: answer(new MessageBody(incoming)) });
            }
        };
        incoming.on("data", onData);
        incoming.on("end", () => {
            if (incoming.complete) {
                finish({ kind: "answered", answer: answer(undefined) });
            }
        });
        incoming.on("error", error => fail(error.message, true));
        incoming.on("close", () => {
            if (!incoming.complete) {
                fail("response truncated", true);
            }
        });
    });
    request.end(call.body.length > 0 ? call.body : undefined);

    return {
        outcome,
        mayHaveRun: () => wasSent,
        cancel: () => {
            finish({ kind: "cancelled", mayHaveRun: wasSent });
            request.destroy();
        }
    };
}
