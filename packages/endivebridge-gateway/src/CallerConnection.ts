import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** What closed a caller's connection: the caller, or this instance for the given reason. */
export type ConnectionCloser = "caller" | "closingAnswer" | "truncatedAnswer" | "protocolError" | "fault";

/** One connection of a caller, with its requests whose answers are not written yet. */
export interface CallerConnection {
    /** Adds a request; `onEnd` is called once its answer is written or the connection has closed. */
    readonly addRequest: (response: ServerResponse, onEnd: () => void) => ConnectionRequest;
    /** Records that this instance closes the connection; the first reason is kept. */
    readonly recordClosing: (reason: Exclude<ConnectionCloser, "caller">) => void;
    /** Records that the connection closes once this answer is written. */
    readonly closeAfter: (response: ServerResponse) => void;
    /** What closed the connection; undefined while it is open. */
    readonly closedBy: () => ConnectionCloser | undefined;
}

/** A request of a connection until its answer is written. */
export interface ConnectionRequest {
    /** Registers the listener that is called if the connection closes before the answer is written. */
    readonly setCloseListener: (listener: () => void) => void;
}

/** Tracks a connection; `onUnanswered` is called for each request that is unanswered when the connection closes. */
export function makeCallerConnection(
    socket: Socket,
    onUnanswered: (closedBy: ConnectionCloser) => void
): CallerConnection {
    const unanswered = new Set<{ onClose: () => void; readonly onEnd: () => void; }>();
    let closer: ConnectionCloser = "caller";
    const recordClosing: CallerConnection["recordClosing"] = reason => {
        if (closer === "caller") {
            closer = reason;
        }
    };
    // Node emits `close` only on the first response of a connection, not on those of pipelined requests behind it.
    socket.once("close", () => {
        for (const request of unanswered) {
            unanswered.delete(request);
            onUnanswered(closer);
            request.onClose();
            request.onEnd();
        }
    });
    return {
        addRequest: (response, onEnd) => {
            const request = { onClose: (): void => undefined, onEnd };
            unanswered.add(request);
            response.once("finish", () => {
                if (unanswered.delete(request)) {
                    onEnd();
                }
            });
            return { setCloseListener: listener => request.onClose = listener };
        },
        recordClosing,
        closeAfter: response => response.once("finish", () => recordClosing("closingAnswer")),
        closedBy: () => socket.destroyed ? closer : undefined
    };
}
