import type { RequestListener, Server } from "node:http";
import type { Socket } from "node:net";
import { type ConnectionReader, makeConnectionReader } from "./ConnectionReader";
import type { HeldMemory } from "./HeldMemory";
import type { Teardown } from "./MergeTeardowns";
import { makeReadTurns } from "./ReadTurns";

/** Limit for which a connection was closed. */
export type ClientLimitKind = "connections" | "memory";

/** Limits on what the clients of some servers may hold together. */
export interface ClientLimitOptions {
    readonly maxConnections: number;
    readonly memory: HeldMemory;
    /** Called for each connection that is closed, with the number of open connections and the bytes claimed. */
    readonly onClose: (kind: ClientLimitKind, connections: number, claimedBytes: number) => void;
}

/** Limits that several HTTP servers of a process share. */
export interface ClientLimits {
    readonly memory: HeldMemory;
    /** Applies the limits to the connections of a server. */
    readonly register: (server: Server) => Teardown;
    /** Discards what a connection has sent and sends further, so that its server parses no more of it. */
    readonly discardInput: (socket: Socket) => void;
    /** Closes a connection after what was written; what the client sends until then is discarded. */
    readonly closeWithLinger: (socket: Socket, lastBytes?: string) => void;
}

/** A connection is not parsed further while this many of its requests have no answer. */
const maxUnansweredRequests = 32;
/** Memory of a connection with its parser. */
const connectionBytes = 8_192;
/** Time for which bytes that arrive after the last answer are read and discarded. */
const lingerMillis = 3_000;

/** Creates limits without connections. */
export function makeClientLimits({ maxConnections, memory, onClose }: ClientLimitOptions): ClientLimits {
    const turns = makeReadTurns();
    /** Ordered by when they last had an answer, or were opened. */
    const connections = new Map<Socket, ConnectionReader>();

    const close = (socket: Socket, kind: ClientLimitKind) => {
        onClose(kind, connections.size, memory.claimedBytes());
        connections.delete(socket);
        socket.destroy();
    };

    /** The connection that has waited the longest for a request, or the end of one; otherwise the new one. */
    const closeOne = (newSocket: Socket) => {
        let incomplete: Socket | undefined;
        for (const [socket, reader] of connections) {
            if (!reader.hasRequest()) {
                close(socket, "connections");
                return;
            }
            if (incomplete === undefined && !reader.hasCompleteRequest()) {
                incomplete = socket;
            }
        }
        close(incomplete ?? newSocket, "connections");
    };

    const discardInput: ClientLimits["discardInput"] = socket => connections.get(socket)?.discard();

    const closeWithLinger: ClientLimits["closeWithLinger"] = (socket, lastBytes = "") => {
        socket.end(lastBytes);
        discardInput(socket);
        setTimeout(() => socket.destroy(), lingerMillis).unref();
    };

    const onConnection = (socket: Socket) => {
        const reader = makeConnectionReader(socket, {
            turns,
            memory,
            maxUnansweredRequests,
            onShed: () => close(socket, "memory")
        });
        if (connections.size >= maxConnections) {
            closeOne(socket);
        }
        if (socket.destroyed) {
            return;
        }
        connections.set(socket, reader);
        const claim = memory.claim(connectionBytes, () => undefined);
        claim.keep();
        socket.once("close", () => {
            connections.delete(socket);
            claim.release();
        });
        // Node calls this after an answer that closes the connection. Closing at once would reset the connection if
        // unread bytes are left or arrive, which destroys answers that are still on their way.
        socket.destroySoon = () => closeWithLinger(socket);
    };

    const onRequest: RequestListener = (message, response) => {
        const { socket } = message;
        const reader = connections.get(socket);
        if (reader === undefined) {
            return;
        }
        reader.recordRequest(message);
        response.once("finish", () => {
            reader.recordAnswer();
            if (connections.delete(socket)) {
                connections.set(socket, reader);
            }
        });
    };

    return {
        memory,
        register: server => {
            server.on("connection", onConnection);
            server.prependListener("request", onRequest);
            return () => {
                server.off("connection", onConnection);
                server.off("request", onRequest);
            };
        },
        discardInput,
        closeWithLinger
    };
}
