import { GuardedAgent, monotonicMillis } from "@endivebridge/shared";
import type { Duplex } from "node:stream";

/** Idle time after which the kernel sends the first TCP keep-alive probe. */
const keepAliveProbeMillis = 1_000;

const idleSinceMillis = new WeakMap<Duplex, number>();

/** Connection pool of one backend server; a connection is reused only within the idle limit. */
export class ServerConnections extends GuardedAgent {
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
        const isKept = super.keepSocketAlive(socket);
        if (isKept) {
            idleSinceMillis.set(socket, monotonicMillis());
        }
        return isKept;
    }
}
