import type { Teardown } from "@endivebridge/shared";
import type { IncomingMessage } from "node:http";

/**
 * Registers a listener for a reset of the connection that delivers a response. Node.js reports a reset that arrives
 * together with data as a regular end, which would complete a response without a length. A regular end is read in a later
 * iteration of the event loop than the last data.
 */
export function registerHiddenResetListener(response: IncomingMessage, onReset: () => void): Teardown {
    const { socket } = response;
    let hasDataInIteration = false;
    const recordData = () => {
        if (!hasDataInIteration) {
            hasDataInIteration = true;
            setImmediate(() => hasDataInIteration = false);
        }
    };
    const checkEnd = () => {
        if (hasDataInIteration) {
            onReset();
        }
    };
    // The head of the response has just been received.
    recordData();
    socket.on("data", recordData);
    socket.once("end", checkEnd);
    return () => {
        socket.off("data", recordData);
        socket.off("end", checkEnd);
    };
}
