import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** What closed a caller's connection: the caller, or this instance for the given reason. */
export type ConnectionCloser = "caller" | "closingAnswer" | "truncatedAnswer" | "protocolError" | "fault";

/** One connection of a caller, with its requests whose answers are not written yet. */
export interface CallerConnection {
    readonly addRequest: (response: ServerResponse) => void;
    /** Records that this instance closes the connection; the first reason is kept. */
    readonly recordClosing: (reason: Exclude<ConnectionCloser, "caller">) => void;
    /** Records that the connection closes once this answer is written. */
    readonly closeAfter: (response: ServerResponse) => void;
    /** What closed the connection; undefined while it is open. */
    readonly closedBy: () => ConnectionCloser | undefined;
}

/** Tracks a connection; `onUnanswered` is called for each request that is unanswered when the connection closes. */
export function makeCallerConnection(
    socket: Socket,
    onUnanswered: (closedBy: ConnectionCloser) => void
): CallerConnection {
    const unanswered = new Set<ServerResponse>();
    let closer: ConnectionCloser = "caller";
    const recordClosing: CallerConnection["recordClosing"] = reason => {
        if (closer === "caller") {
            closer = reason;
        }
    };
    socket.once("close", () => unanswered.forEach(() => onUnanswered(closer)));
    return {
        addRequest: response => {
            unanswered.add(response);
            response.once("finish", () => unanswered.delete(response));
        },
        recordClosing,
        closeAfter: response => response.once("finish", () => recordClosing("closingAnswer")),
        closedBy: () => socket.destroyed ? closer : undefined
    };
}
