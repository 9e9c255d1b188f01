import { Agent } from "node:http";

/** Connections to backend servers, a pool for each. */
export interface BackendConnections {
    /** Connections that may have carried earlier requests, none of them idle for long. */
    readonly pooled: (server: string) => Agent;
    /** A connection of its own for each request: a request on it cannot meet an earlier one's end. */
    readonly fresh: (server: string) => Agent;
    /** Closes connections that wait for use; those in use stay. */
    readonly dropIdle: (server: string) => void;
    readonly close: (server: string) => void;
    readonly closeAll: () => void;
}

/** Bounds of the pools. */
export interface BackendConnectionsOptions {
    readonly connectionsPerServer: number;
    /** Idle time in milliseconds after which a connection is closed. */
    readonly idleMillis: number;
}

interface ServerAgents {
    readonly pooled: Agent;
    readonly fresh: Agent;
}

/** Makes an empty set of pools. */
export function makeBackendConnections(options: BackendConnectionsOptions): BackendConnections {
    const agents = new Map<string, ServerAgents>();
    const of = (server: string): ServerAgents => {
        const known = agents.get(server);
        if (known !== undefined) {
            return known;
        }
        const made: ServerAgents = {
            pooled: new Agent({
                keepAlive: true,
                maxSockets: options.connectionsPerServer,
                scheduling: "lifo",
                timeout: options.idleMillis
            }),
            fresh: new Agent({ keepAlive: false, maxSockets: options.connectionsPerServer })
        };
        agents.set(server, made);
        return made;
    };
    const close = (server: string) => {
        agents.get(server)?.pooled.destroy();
        agents.get(server)?.fresh.destroy();
        agents.delete(server);
    };
    return {
        pooled: server => of(server).pooled,
        fresh: server => of(server).fresh,
        dropIdle: server => {
            const idle = Object.values(agents.get(server)?.pooled.freeSockets ?? {});
            idle.forEach(sockets => sockets?.forEach(socket => socket.destroy()));
        },
        close,
        closeAll: () => [...agents.keys()].forEach(close)
    };
}
