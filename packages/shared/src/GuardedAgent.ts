import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

function destroyOnUnexpectedBytes(this: Socket): void {
    this.destroy();
}

/** HTTP agent whose idle connections close when bytes arrive on them, since these belong to no request. */
export class GuardedAgent extends Agent {
    override keepSocketAlive(socket: Duplex): boolean {
        // The base class evaluates the server's Keep-Alive header; its type declaration omits the boolean result.
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (isKept) {
            socket.on("data", destroyOnUnexpectedBytes);
        }
        return isKept;
    }

    override reuseSocket(socket: Duplex, request: ClientRequest): void {
        socket.off("data", destroyOnUnexpectedBytes);
        super.reuseSocket(socket, request);
    }
}
