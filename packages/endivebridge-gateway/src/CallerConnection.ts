import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** What closed a caller's connection: the caller, or this instance for the given reason; `fault` is an internal error. */
export type ConnectionCloser =
    | "caller"
    | "closingAnswer"
    | "truncatedAnswer"
    | "unreadAnswer"
    | "protocolError"
    | "fault";

/** One connection of a caller, with its requests whose answers are not written yet. */
export interface CallerConnection {
    /** Adds a request; `onEnd` is called once its answer is written or the connection has closed. */
    readonly addRequest: (response: ServerResponse, onEnd: () => void) => ConnectionRequest;
    /** Records that this instance closes the connection; the first reason is kept. */
    readonly recordClosing: (reason: Exclude<ConnectionCloser, "caller">) => void;
    /** Whether an answer closes the connection, so that callers send the requests behind it again elsewhere. */
    readonly isClosing: () => boolean;
    /** Calls the listener once no request that was read completely is unanswered; at once if there is none. */
    readonly afterReadRequests: (listener: () => void) => void;
    /** Whether an answer has been written in part. */
    readonly isWritingAnswer: () => boolean;
    /** What closed the connection; undefined while it is open. */
    readonly closedBy: () => ConnectionCloser | undefined;
}

/** A request of a connection until its answer is written. */
export interface ConnectionRequest {
    /** Records that the request is being served, so that answers ahead of it keep the connection open. */
    readonly setInService: () => void;
    /** Resolves once the answers ahead are written, or with false if the connection has closed or is closing. */
    readonly whenNextToAnswer: () => Promise<boolean>;
    /** Whether a request behind this one is in service. */
    readonly hasInServiceBehind: () => boolean;
    /** Records that the answer to this request closes the connection. */
    readonly closeAfterAnswer: () => void;
    /** Registers the listener that is called if the connection closes before the answer is written. */
    readonly setCloseListener: (listener: () => void) => void;
}

interface UnansweredRequest {
    readonly response: ServerResponse;
    readonly onEnd: () => void;
    isInService: boolean;
    onClose: () => void;
    onNextToAnswer: (isWritable: boolean) => void;
}

/** Tracks a connection; `onUnanswered` is called for each request in service when it closes. */
export function makeCallerConnection(
    socket: Socket,
    onUnanswered: (closedBy: ConnectionCloser) => void
): CallerConnection {
    const unanswered = new Set<UnansweredRequest>();
    let isClosing = false;
    let closer: ConnectionCloser = "caller";
    let inServiceCount = 0;
    let onReadRequestsAnswered: (() => void) | undefined;
    const notifyIfReadRequestsAnswered = () => {
        if (onReadRequestsAnswered !== undefined && ![...unanswered].some(({ response }) => response.req.complete)) {
            onReadRequestsAnswered();
            onReadRequestsAnswered = undefined;
        }
    };
    const recordClosing: CallerConnection["recordClosing"] = reason => {
        if (closer === "caller") {
            closer = reason;
        }
    };
    // Node emits `close` only on the first response of a connection, not on those of pipelined requests behind it.
    socket.once("close", () => {
        for (const request of unanswered) {
            unanswered.delete(request);
            if (request.isInService) {
                onUnanswered(closer);
            }
            request.onClose();
            request.onNextToAnswer(false);
            request.onEnd();
        }
    });
    return {
        addRequest: (response, onEnd) => {
            const request: UnansweredRequest = {
                response,
                onEnd,
                isInService: false,
                onClose: () => undefined,
                onNextToAnswer: () => undefined
            };
            unanswered.add(request);
            response.once("finish", () => {
                if (unanswered.delete(request)) {
                    inServiceCount -= request.isInService ? 1 : 0;
                    onEnd();
                    const [next] = unanswered;
                    next?.onNextToAnswer(!isClosing);
                    notifyIfReadRequestsAnswered();
                }
            });
            return {
                setInService: () => {
                    request.isInService = true;
                    inServiceCount += 1;
                },
                whenNextToAnswer: () => {
                    const [next] = unanswered;
                    return isClosing || !unanswered.has(request)
                        ? Promise.resolve(false)
                        : next === request
                        ? Promise.resolve(true)
                        : new Promise(resolve => request.onNextToAnswer = resolve);
                },
                hasInServiceBehind: () => inServiceCount > (request.isInService ? 1 : 0),
                closeAfterAnswer: () => {
                    isClosing = true;
                    response.once("finish", () => recordClosing("closingAnswer"));
                },
                setCloseListener: listener => request.onClose = listener
            };
        },
        recordClosing,
        isClosing: () => isClosing,
        afterReadRequests: listener => {
            onReadRequestsAnswered = listener;
            notifyIfReadRequestsAnswered();
        },
        isWritingAnswer: () => {
            const [next] = unanswered;
            return next?.response.headersSent === true;
        },
        closedBy: () => socket.destroyed ? closer : undefined
    };
}
