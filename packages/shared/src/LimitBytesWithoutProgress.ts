import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Watches the bytes of a server that add nothing to its response. */
export interface ProgressLimit {
    /** Called when the response head or a part of its body has arrived. */
    readonly recordProgress: () => void;
    readonly stop: () => void;
}

/** Above Node.js's limit on one response head and the size of one read from a socket. */
const maxBytesWithoutProgress = 131_072;

/**
 * Calls `onExceeded` when a server sends many bytes that are neither a response head nor part of a body: Node.js limits
 * neither line breaks before a head, nor the number of informational responses, nor whitespace around header values.
 */
export function limitBytesWithoutProgress(request: ClientRequest, onExceeded: () => void): ProgressLimit {
    let connection: Socket | undefined;
    let bytesAtProgress = 0;
    const recordProgress = () => bytesAtProgress = connection?.bytesRead ?? 0;
    const checkBytes = () => {
        if (connection !== undefined && connection.bytesRead - bytesAtProgress > maxBytesWithoutProgress) {
            stop();
            onExceeded();
        }
    };
    const stop = () => {
        connection?.off("data", checkBytes);
        request.off("socket", start);
    };
    // The parser's listener is older, so it has handled the bytes before this one counts them.
    const start = (socket: Socket) => {
        connection = socket;
        recordProgress();
        socket.on("data", checkBytes);
    };
    request.on("socket", start);
    return { recordProgress, stop };
}
