import { monotonicMillis } from "@endivebridge/shared";
import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

/** Idle time after which the kernel sends the first TCP keep-alive probe. */
const keepAliveProbeMillis = 1_000;

const idleSinceMillis = new WeakMap<Duplex, number>();

function destroyOnUnexpectedBytes(this: Socket): void {
    this.destroy();
}

/**
 * Connection pool of one backend server. Bytes on an idle connection belong to no request, so they close it; a
 * connection is reused only within the idle limit.
 */
export class ServerConnections extends Agent {
    readonly #maxIdleMillis: number;

    /** Connections idle for longer than the limit are not reused, since the server may no longer know them. */
    constructor(maximumConnections: number, maxIdleMillis: number) {
        super({
            keepAlive: true,
            keepAliveMsecs: keepAliveProbeMillis,
            maxSockets: maximumConnections,
            maxFreeSockets: maximumConnections,
            scheduling: "lifo"
        });
        this.#maxIdleMillis = maxIdleMillis;
    }

    /** Closes connections that have been idle for longer than the limit. */
    closeStale(nowMillis: number): void {
        for (const sockets of Object.values(this.freeSockets)) {
            for (const socket of [...sockets ?? []]) {
                if (nowMillis - (idleSinceMillis.get(socket) ?? 0) > this.#maxIdleMillis) {
                    socket.destroy();
                }
            }
        }
    }

    override keepSocketAlive(socket: Duplex): boolean {
        // The base class evaluates the server's Keep-Alive header; its type declaration omits the boolean result.
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (isKept) {
            idleSinceMillis.set(socket, monotonicMillis());
            socket.on("data", destroyOnUnexpectedBytes);
        }
        return isKept;
    }

    override reuseSocket(socket: Duplex, request: ClientRequest): void {
        socket.off("data", destroyOnUnexpectedBytes);
        super.reuseSocket(socket, request);
    }
}
