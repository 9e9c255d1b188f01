import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { listen, portOf } from "./PlatformStandIn";

/** How a stand-in backend server behaves; all can be changed while it runs. */
export interface BackendBehaviour {
    /** Mean service time in milliseconds. */
    serviceMillis: number;
    /** Service times are this many times longer. */
    slowFactor: number;
    /** Share of requests that take `stragglerFactor` times longer. */
    stragglerShare: number;
    stragglerFactor: number;
    /** Load it reports in place of the truth; undefined tells the truth. */
    reportedInFlight: number | undefined;
    /** What it does beyond its slots: shed unrun, or queue. */
    beyondSlots: "shed" | "queue";
    /** Time a crashed server takes to come back by itself; 0 never. */
    restartMillis: number;
}

/** What a stand-in backend server itself saw. */
export interface BackendRecord {
    readonly server: string;
    readonly service: string;
    readonly region: string;
    readonly slots: number;
    ran: number;
    overSlotDispatches: number;
    mostInFlight: number;
    shed: number;
    crashes: number;
    cancelled: number;
    /** Wall clock of the last new work in milliseconds. */
    lastWorkAtMillis: number;
    /** Times each token was begun, for tokens of non-idempotent work and those begun more than once. */
    readonly begun: Map<string, number>;
    /** Starts of requests whose caller belongs to another region, wall clock in milliseconds. */
    readonly inflowAtMillis: number[];
}

/** Stand-in for one backend server. */
export interface BackendStandIn {
    readonly server: string;
    readonly service: string;
    readonly port: number;
    readonly slots: number;
    readonly behaviour: BackendBehaviour;
    readonly record: BackendRecord;
    readonly inFlight: () => number;
    /** Slot time that requests have used so far. */
    readonly busyMillis: () => number;
    /** Stops listening and cuts every connection; what ran is lost. */
    readonly crash: () => void;
    readonly restart: () => void;
    readonly close: () => Promise<void>;
}

/** What a stand-in backend server is. */
export interface BackendOptions {
    readonly server: string;
    readonly service: string;
    readonly region: string;
    readonly slots: number;
    readonly serviceMillis: number;
    readonly random: () => number;
}

const loadPath = "/load";

/** Header in which stand-in callers name the region they call from. */
export const callerRegionHeader = "x-caller-region";

/** Header whose value a stand-in backend server repeats in its answer's body. */
export const tokenHeader = "x-token";

/** Header in which a stand-in backend server says how long a request queued there. */
export const queueMillisHeader = "x-queue-millis";

/** Body that answers a token: the token, then filler of the asked length. */
export function answerBody(token: string, bytes: number): string {
    return `${token}\n${"x".repeat(bytes)}\n${token}`;
}

function readWhole(incoming: IncomingMessage): Promise<boolean> {
    return new Promise(resolve => {
        incoming.on("data", () => undefined);
        incoming.on("end", () => resolve(true));
        incoming.on("close", () => resolve(incoming.complete));
    });
}

/** Service times spread around their mean: half of it fixed, half exponential. */
function drawServiceMillis(behaviour: BackendBehaviour, factor: number, random: () => number): number {
    const exponential = -Math.log(1 - random());
    const straggler = random() < behaviour.stragglerShare ? behaviour.stragglerFactor : 1;
    return behaviour.serviceMillis * (0.5 + 0.5 * exponential) * behaviour.slowFactor * straggler * factor;
}

/** Starts one stand-in backend server on loopback. */
export async function startBackendStandIn(options: BackendOptions): Promise<BackendStandIn> {
    const behaviour: BackendBehaviour = {
        serviceMillis: options.serviceMillis,
        slowFactor: 1,
        stragglerShare: 0,
        stragglerFactor: 1,
        reportedInFlight: undefined,
        beyondSlots: "shed",
        restartMillis: 0
    };
    const record: BackendRecord = {
        server: options.server,
        service: options.service,
        region: options.region,
        slots: options.slots,
        ran: 0,
        overSlotDispatches: 0,
        mostInFlight: 0,
        shed: 0,
        crashes: 0,
        cancelled: 0,
        lastWorkAtMillis: 0,
        begun: new Map(),
        inflowAtMillis: []
    };
    const sockets = new Set<Socket>();
    let inFlight = 0;
    let busyMillis = 0;

    let life = 0;
    const turns: (() => void)[] = [];

    const restart = () => {
        if (!server.listening) {
            server.listen(port, "127.0.0.1");
        }
    };

    const crash = () => {
        record.crashes += 1;
        life += 1;
        inFlight = 0;
        server.close();
        sockets.forEach(socket => socket.destroy());
        if (behaviour.restartMillis > 0) {
            setTimeout(restart, behaviour.restartMillis).unref();
        }
    };

    const noteBegin = (incoming: IncomingMessage, token: string) => {
        record.ran += 1;
        record.mostInFlight = Math.max(record.mostInFlight, inFlight);
        record.lastWorkAtMillis = Date.now();
        record.begun.set(token, (record.begun.get(token) ?? 0) + 1);
        const region = incoming.headers[callerRegionHeader];
        if (region !== undefined && region !== options.region) {
            record.inflowAtMillis.push(Date.now());
        }
    };

    const serve = async (incoming: IncomingMessage, response: ServerResponse) => {
        if (incoming.url === loadPath) {
            const reported = behaviour.reportedInFlight ?? inFlight;
            const body = JSON.stringify({ inFlight: reported, slots: options.slots });
            response.writeHead(200, { "content-length": body.length, "content-type": "application/json" }).end(body);
            return;
        }
        const url = new URL(incoming.url ?? "/", "http://server");
        const token = String(incoming.headers[tokenHeader] ?? "");
        if (!await readWhole(incoming)) {
            return;
        }
        const arrivedAtMillis = performance.now();
        let queuedMillis = 0;
        if (inFlight >= options.slots) {
            record.overSlotDispatches += 1;
            if (behaviour.beyondSlots === "shed") {
                record.shed += 1;
                response.writeHead(503, { "request-not-run": "1", "retry-after": "1", "content-length": 0 }).end();
                return;
            }
            await new Promise<void>(resolve => turns.push(resolve));
            queuedMillis = performance.now() - arrivedAtMillis;
        }
        inFlight += 1;
        noteBegin(incoming, token);
        if (incoming.url?.includes("poison") === true) {
            crash();
            return;
        }
        const lifeAtStart = life;
        const begunAtMillis = performance.now();
        const isRead = incoming.method === "GET";
        const serviceMillis = drawServiceMillis(behaviour, Number(url.searchParams.get("factor") ?? 1), options.random);
        const ended = await new Promise<boolean>(resolve => {
            const timer = setTimeout(() => resolve(true), serviceMillis);
            // Reads stop when their caller is gone; work with effects goes on to its end.
            response.on("close", () => {
                if (isRead && !response.writableEnded) {
                    clearTimeout(timer);
                    resolve(false);
                }
            });
        });
        if (life !== lifeAtStart) {
            return;
        }
        inFlight -= 1;
        busyMillis += performance.now() - begunAtMillis;
        turns.shift()?.();
        if (!ended) {
            record.cancelled += 1;
            return;
        }
        const bytes = Number(url.searchParams.get("bytes") ?? 100);
        const body = answerBody(token, bytes);
        response.writeHead(200, {
            "content-length": Buffer.byteLength(body),
            "content-type": "text/plain",
            [queueMillisHeader]: queuedMillis.toFixed(2)
        });
        response.end(body);
    };

    const server = createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
        serve(incoming, response).catch(() => response.destroy());
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await listen(server, 0);
    const port = portOf(server);
    return {
        server: options.server,
        service: options.service,
        port,
        slots: options.slots,
        behaviour,
        record,
        inFlight: () => inFlight,
        busyMillis: () => busyMillis,
        crash,
        restart,
        close: () =>
            new Promise(resolve => {
                server.closeAllConnections();
                server.close(() => resolve());
            })
    };
}
