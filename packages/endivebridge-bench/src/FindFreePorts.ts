import { createServer, type Server } from "node:net";

const minPort = 15_000;
const portCount = 16_000;

/** Tries to listen; undefined when the port is taken. */
function tryListen(port: number): Promise<Server | undefined> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}

/** Free ports below the range from which the system itself hands ports out. */
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
