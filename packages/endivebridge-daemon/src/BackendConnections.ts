import { GuardedAgent } from "@endivebridge/shared";
import { Agent } from "node:http";

/** HTTP agents for backend servers, with one connection pool per server. */
export interface BackendConnections {
    /** Agent with keep-alive connections, which may have carried earlier requests and are closed when idle too long. */
    readonly pooled: (server: string) => Agent;
    /** Agent that opens a new connection per request, so that no request meets the close of a reused connection. */
    readonly unpooled: (server: string) => Agent;
    /** Closes the idle pooled connections to a server; those in use stay open. */
    readonly closeIdle: (server: string) => void;
    readonly close: (server: string) => void;
    readonly closeAll: () => void;
}

/** Limits of each server's pool. */
export interface BackendConnectionsOptions {
    readonly connectionsPerServer: number;
    /** Idle time in milliseconds after which a connection is closed. */
    readonly idleMillis: number;
}

interface ServerAgents {
    readonly pooled: Agent;
    readonly unpooled: Agent;
}

/** Makes the connection pools; each is created on the first use of its server. */
export function makeBackendConnections(options: BackendConnectionsOptions): BackendConnections {
    const agents = new Map<string, ServerAgents>();
    const of = (server: string): ServerAgents => {
        const existing = agents.get(server);
        if (existing !== undefined) {
            return existing;
        }
        const created: ServerAgents = {
            pooled: new GuardedAgent({
                keepAlive: true,
                maxSockets: options.connectionsPerServer,
                scheduling: "lifo",
                timeout: options.idleMillis
            }),
            unpooled: new Agent({ keepAlive: false, maxSockets: options.connectionsPerServer })
        };
        agents.set(server, created);
        return created;
    };
    const close = (server: string) => {
        agents.get(server)?.pooled.destroy();
        agents.get(server)?.unpooled.destroy();
        agents.delete(server);
    };
    return {
        pooled: server => of(server).pooled,
        unpooled: server => of(server).unpooled,
        closeIdle: server => {
            const idle = Object.values(agents.get(server)?.pooled.freeSockets ?? {});
            idle.forEach(sockets => sockets?.forEach(socket => socket.destroy()));
        },
        close,
        closeAll: () => [...agents.keys()].forEach(close)
    };
}
