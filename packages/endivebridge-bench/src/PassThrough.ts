import { Agent, createServer, request as openRequest } from "node:http";

/** Runs a minimal `node:http` proxy to one backend server without any policy; sends its port to the parent. */
export function servePassThrough(target: string): void {
    const agent = new Agent({ keepAlive: true });
    const [host, port] = target.split(":");
    const server = createServer((incoming, response) => {
        const outgoing = openRequest(
            { host, port: Number(port), method: incoming.method, path: incoming.url, headers: incoming.headers, agent },
            answer => {
                response.writeHead(answer.statusCode ?? 502, answer.rawHeaders);
                answer.pipe(response);
            }
        );
        outgoing.on("error", () => response.destroy());
        incoming.pipe(outgoing);
    });
    server.listen(0, "127.0.0.1", () => {
        const address = server.address();
        process.send?.({ port: typeof address === "object" ? address?.port : 0 });
    });
    process.on("message", () => process.send?.({ cpuMicros: cpuMicros() }));
    process.on("disconnect", () => process.exit(0));
}

function cpuMicros(): number {
    const { user, system } = process.cpuUsage();
    return user + system;
}
