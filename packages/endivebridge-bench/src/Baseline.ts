import { Agent, createServer, type IncomingMessage, request as openRequest, type ServerResponse } from "node:http";

/** Service and address of a backend server that a baseline dispatches to. */
export interface BaselineServer {
    readonly service: string;
    readonly host: string;
    readonly port: number;
}

/** Policy and backend servers of one baseline process, passed as JSON on its command line. */
export interface BaselinePlan {
    readonly policy: BaselinePolicy;
    readonly servers: readonly BaselineServer[];
}

/** Load-balancing policies that scenarios compare Endivebridge with. */
export type BaselinePolicy = "round-robin" | "least-in-flight";

interface Target {
    readonly server: BaselineServer;
    inFlight: number;
}

type TargetSelector = (targets: readonly Target[]) => Target;

function makeRoundRobinSelector(): TargetSelector {
    let nextIndex = 0;
    return targets => targets[nextIndex++ % targets.length]!;
}

function selectLeastInFlight(targets: readonly Target[]): Target {
    return targets.reduce((leastLoaded, target) => target.inFlight < leastLoaded.inFlight ? target : leastLoaded);
}

function answerLookup(response: ServerResponse, address: string): void {
    const instances = [{ instance: "baseline", address, operationPrefix: `baseline.${Date.now()}.0.x` }];
    const body = JSON.stringify({ instances, timeToLiveMillis: 60_000 });
    response.writeHead(200, { "content-length": Buffer.byteLength(body) }).end(body);
}

function forwardRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
    target: Target,
    path: string,
    agent: Agent
): void {
    const { host, port } = target.server;
    target.inFlight += 1;
    const outgoing = openRequest(
        { host, port, method: incoming.method, path, headers: incoming.headers, agent },
        answer => {
            response.writeHead(answer.statusCode ?? 502, answer.rawHeaders);
            answer.pipe(response);
        }
    );
    outgoing.on("error", () => response.destroy());
    outgoing.on("close", () => target.inFlight -= 1);
    response.on("close", () => outgoing.destroy());
    incoming.pipe(outgoing);
}

/** Runs a baseline proxy over all servers of one region and sends its port to the parent process. */
export function serveBaseline(planText: string): void {
    const plan = JSON.parse(planText) as BaselinePlan;
    const agent = new Agent({ keepAlive: true });
    const targetsByService = new Map<string, Target[]>();
    const selectorsByService = new Map<string, TargetSelector>();
    for (const server of plan.servers) {
        const targets = targetsByService.get(server.service) ?? [];
        targets.push({ server, inFlight: 0 });
        targetsByService.set(server.service, targets);
        selectorsByService.set(
            server.service,
            plan.policy === "round-robin" ? makeRoundRobinSelector() : selectLeastInFlight
        );
    }
    let address = "";
    const server = createServer((incoming, response) => {
        const url = incoming.url ?? "/";
        if (url.startsWith("/.endivebridge/")) {
            answerLookup(response, address);
            return;
        }
        const service = url.split("/")[1] ?? "";
        const targets = targetsByService.get(service) ?? [];
        forwardRequest(
            incoming,
            response,
            selectorsByService.get(service)!(targets),
            url.slice(service.length + 1),
            agent
        );
    });
    server.listen(0, "127.0.0.1", () => {
        const bound = server.address();
        const port = typeof bound === "object" ? bound?.port ?? 0 : 0;
        address = `127.0.0.1:${port}`;
        process.send?.({ port });
    });
    process.on("disconnect", () => process.exit(0));
}
