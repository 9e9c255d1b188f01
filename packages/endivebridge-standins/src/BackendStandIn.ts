import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { getListeningPort, listen } from "./PlatformStandIn";

/** Behaviour of a stand-in backend server; all fields can be changed while the server runs. */
export interface BackendBehaviour {
    /** Mean service time in milliseconds. */
    serviceMillis: number;
    /** Factor that all service times are multiplied by. */
    slowFactor: number;
    /** Share of requests (0 to 1) whose service time is multiplied by `stragglerFactor`. */
    stragglerShare: number;
    stragglerFactor: number;
    /** Number of requests in flight that the server reports instead of the real one; undefined reports the real one. */
    reportedInFlight: number | undefined;
    /** Handling of requests that arrive while all slots are in use: rejected without being run, or queued. */
    overloadHandling: "shed" | "queue";
    /** Time in milliseconds until a crashed server restarts by itself; 0 disables automatic restarts. */
    restartMillis: number;
}

/** Counters and timestamps that a stand-in backend server records; tests compare them with what callers were told. */
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
    /** Wall clock time in milliseconds at which the last request started. */
    lastWorkAtMillis: number;
    /** Number of times that a request with each token was started; a count above 1 shows repeated execution. */
    readonly begun: Map<string, number>;
    /** Wall clock times in milliseconds at which requests from callers in other regions started. */
    readonly inflowAtMillis: number[];
}

/** A running stand-in for one backend server. */
export interface BackendStandIn {
    readonly server: string;
    readonly service: string;
    readonly port: number;
    readonly slots: number;
    readonly behaviour: BackendBehaviour;
    readonly record: BackendRecord;
    readonly inFlight: () => number;
    /** Total time in milliseconds during which slots were occupied by completed or cancelled requests. */
    readonly occupiedSlotMillis: () => number;
    /** Stops listening and closes all connections; the requests in flight are lost. */
    readonly crash: () => void;
    readonly restart: () => void;
    readonly close: () => Promise<void>;
}

/** Options of {@link startBackendStandIn}. */
export interface BackendOptions {
    readonly server: string;
    readonly service: string;
    readonly region: string;
    readonly slots: number;
    readonly serviceMillis: number;
    readonly random: () => number;
}

const loadPath = "/load";

/** Request header that carries the region of a stand-in caller. */
export const callerRegionHeader = "x-caller-region";

/** Request header whose value a stand-in backend server repeats in the response body. */
export const tokenHeader = "x-token";

/** Response header with the time in milliseconds that the request was queued at the stand-in backend server. */
export const queueMillisHeader = "x-queue-millis";

/** Builds the response body for a token: the token, padding of the given length, and the token again. */
export function buildResponseBody(token: string, bytes: number): string {
    return `${token}\n${"x".repeat(bytes)}\n${token}`;
}

function readRequestBody(incoming: IncomingMessage): Promise<boolean> {
    return new Promise(resolve => {
        incoming.on("data", () => undefined);
        incoming.on("end", () => resolve(true));
        incoming.on("close", () => resolve(incoming.complete));
    });
}

/** Samples a service time: half of the mean is fixed, the other half exponentially distributed. */
function sampleServiceMillis(behaviour: BackendBehaviour, factor: number, random: () => number): number {
    const exponential = -Math.log(1 - random());
    const straggler = random() < behaviour.stragglerShare ? behaviour.stragglerFactor : 1;
    return behaviour.serviceMillis * (0.5 + 0.5 * exponential) * behaviour.slowFactor * straggler * factor;
}

/** Starts a stand-in backend server on a free loopback port. */
export async function startBackendStandIn(options: BackendOptions): Promise<BackendStandIn> {
    const behaviour: BackendBehaviour = {
        serviceMillis: options.serviceMillis,
        slowFactor: 1,
        stragglerShare: 0,
        stragglerFactor: 1,
        reportedInFlight: undefined,
        overloadHandling: "shed",
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

    // Incremented by each crash, so that requests from before it neither change the load counters nor send a response.
    let generation = 0;
    const queuedRequests: (() => void)[] = [];

    const restart = () => {
        if (!server.listening) {
            server.listen(port, "127.0.0.1");
        }
    };

    const crash = () => {
        record.crashes += 1;
        generation += 1;
        inFlight = 0;
        server.close();
        sockets.forEach(socket => socket.destroy());
        if (behaviour.restartMillis > 0) {
            setTimeout(restart, behaviour.restartMillis).unref();
        }
    };

    const recordStart = (incoming: IncomingMessage, token: string) => {
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
        if (!await readRequestBody(incoming)) {
            return;
        }
        const arrivedAtMillis = performance.now();
        let queuedMillis = 0;
        if (inFlight >= options.slots) {
            record.overSlotDispatches += 1;
            if (behaviour.overloadHandling === "shed") {
                record.shed += 1;
                response.writeHead(503, { "request-not-run": "1", "retry-after": "1", "content-length": 0 }).end();
                return;
            }
            await new Promise<void>(resolve => queuedRequests.push(resolve));
            queuedMillis = performance.now() - arrivedAtMillis;
        }
        inFlight += 1;
        recordStart(incoming, token);
        if (incoming.url?.includes("poison") === true) {
            crash();
            return;
        }
        const generationAtStart = generation;
        const serviceStartMillis = performance.now();
        const isReadRequest = incoming.method === "GET";
        const serviceMillis = sampleServiceMillis(
            behaviour,
            Number(url.searchParams.get("factor") ?? 1),
            options.random
        );
        const isCompleted = await new Promise<boolean>(resolve => {
            const timer = setTimeout(() => resolve(true), serviceMillis);
            // GET requests are cancelled when the caller disconnects; requests with side effects run to completion.
            response.on("close", () => {
                if (isReadRequest && !response.writableEnded) {
                    clearTimeout(timer);
                    resolve(false);
                }
            });
        });
        if (generation !== generationAtStart) {
            return;
        }
        inFlight -= 1;
        busyMillis += performance.now() - serviceStartMillis;
        queuedRequests.shift()?.();
        if (!isCompleted) {
            record.cancelled += 1;
            return;
        }
        const bytes = Number(url.searchParams.get("bytes") ?? 100);
        const body = buildResponseBody(token, bytes);
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
    const port = getListeningPort(server);
    return {
        server: options.server,
        service: options.service,
        port,
        slots: options.slots,
        behaviour,
        record,
        inFlight: () => inFlight,
        occupiedSlotMillis: () => busyMillis,
        crash,
        restart,
        close: () =>
            new Promise(resolve => {
                server.closeAllConnections();
                server.close(() => resolve());
            })
    };
}
