import { createServer, type Server } from "node:net";

const minPort = 15_000;
const portCount = 16_000;

/** Listens on a port of the loopback address; resolves with undefined when the port is in use. */
function tryListen(port: number): Promise<Server | undefined> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}

/** Finds free ports below the ephemeral port range, so that the system does not assign them to other sockets. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const servers = new Map<number, Server>();
    while (servers.size < count) {
        const port = minPort + Math.floor(Math.random() * portCount);
        const server = servers.has(port) ? undefined : await tryListen(port);
        if (server !== undefined) {
            servers.set(port, server);
        }
    }
    await Promise.all([...servers.values()].map(server => new Promise(resolve => server.close(resolve))));
    return [...servers.keys()];
}
