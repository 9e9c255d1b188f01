import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { Server } from "node:net";

/** Faults that the stand-in injects; all fields can be changed while it runs. */
export interface PlatformFaults {
    /** While true, every connection is closed without a response. */
    isDown: boolean;
    /** Delay of every response in milliseconds. */
    delayMillis: number;
    /** Share of writes (0 to 1) that take effect but whose response is lost. */
    lostResponseShare: number;
    /** Replication lag of the instance list that readers get, in milliseconds. */
    listLagMillis: number;
}

/** Request counters of the stand-in. */
export interface PlatformRecord {
    readonly writes: number;
    readonly reads: number;
    readonly refused: number;
    readonly peakWritesPerSecond: number;
    readonly peakReadsPerSecond: number;
}

/** Stand-in for the platform's table service, object store and instance list. */
export interface PlatformStandIn {
    readonly port: number;
    readonly faults: PlatformFaults;
    readonly setInstances: (instances: readonly unknown[]) => void;
    /** Sets the addresses of peers and servers seen from each failure domain: a map from failure domain to real address to seen address. */
    readonly setAddressMappings: (views: Readonly<Record<string, Readonly<Record<string, string>>>>) => void;
    readonly record: () => PlatformRecord;
    readonly rows: () => ReadonlyMap<string, StoredRow>;
    /** Copies the table; `returnToCopy` loses all that was written since. */
    readonly keepCopy: () => void;
    readonly returnToCopy: () => void;
    readonly close: () => Promise<void>;
}

/** A table row with the version that its conditional writes are checked against. */
export interface StoredRow {
    readonly version: number;
    readonly value: unknown;
}

interface InstanceListVersion {
    readonly version: number;
    readonly setAtMillis: number;
    readonly instances: readonly unknown[];
}

/** Requests above these limits in one clock second are rejected with status 503. */
const maxWritesPerSecond = 400;
const maxReadsPerSecond = 2_000;

function readBody(incoming: IncomingMessage): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
        incoming.on("end", () => resolve(Buffer.concat(chunks)));
        incoming.on("error", reject);
    });
}

function makePerSecondCounter() {
    let second = 0;
    let count = 0;
    let peakCount = 0;
    return {
        tryIncrement: (limit: number) => {
            const now = Math.floor(performance.now() / 1_000);
            if (now !== second) {
                second = now;
                count = 0;
            }
            count += 1;
            peakCount = Math.max(peakCount, count);
            return count <= limit;
        },
        peak: () => peakCount
    };
}

/** Starts the stand-in on a loopback port; port 0 picks a free one. */
export async function startPlatformStandIn(port = 0, random: () => number = Math.random): Promise<PlatformStandIn> {
    let rows = new Map<string, StoredRow>();
    let copiedRows: ReadonlyMap<string, StoredRow> = new Map();
    /** Number of times that the table has returned to its copy. */
    let era = 0;
    const objects = new Map<string, Buffer>();
    const faults: PlatformFaults = { isDown: false, delayMillis: 0, lostResponseShare: 0, listLagMillis: 0 };
    let listVersions: InstanceListVersion[] = [{ version: 0, setAtMillis: Number.NEGATIVE_INFINITY, instances: [] }];
    let addressViews: Readonly<Record<string, Readonly<Record<string, string>>>> = {};
    let writes = 0;
    let reads = 0;
    let refused = 0;
    const writeCounter = makePerSecondCounter();
    const readCounter = makePerSecondCounter();

    const reply = (response: ServerResponse, status: number, body: string | Buffer, version?: number) => {
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            "table-era": String(era),
            ...(version === undefined ? {} : { etag: `"${version}"` })
        });
        response.end(body);
    };

    const isPreconditionMet = (incoming: IncomingMessage, key: string): boolean => {
        const stored = rows.get(key);
        if (Number(incoming.headers["table-era"] ?? era) !== era) {
            return false;
        }
        if (incoming.headers["if-none-match"] === "*") {
            return stored === undefined;
        }
        const match = incoming.headers["if-match"];
        return match === undefined || match === `"${stored?.version ?? 0}"`;
    };

    const store = (key: string, value: unknown): number => {
        const version = (rows.get(key)?.version ?? 0) + 1;
        rows.set(key, { version, value });
        return version;
    };

    const serveTable = async (incoming: IncomingMessage, response: ServerResponse, url: URL, lost: boolean) => {
        const key = decodeURIComponent(url.pathname.slice("/table/".length));
        if (incoming.method === "GET" && key === "") {
            const prefix = url.searchParams.get("prefix") ?? "";
            const matchingRows = [...rows].filter(([name]) => name.startsWith(prefix)).sort(([a], [b]) =>
                a < b ? -1 : 1
            );
            reply(response, 200, JSON.stringify(matchingRows.map(([name, row]) => ({ key: name, ...row }))));
            return;
        }
        if (incoming.method === "GET") {
            const stored = rows.get(key);
            if (stored !== undefined && incoming.headers["if-none-match"] === `"${stored.version}"`) {
                reply(response, 304, "", stored.version);
                return;
            }
            reply(response, stored === undefined ? 404 : 200, JSON.stringify(stored?.value ?? {}), stored?.version);
            return;
        }
        const body = JSON.parse((await readBody(incoming)).toString()) as unknown;
        if (incoming.method === "POST") {
            const newRows = body as readonly { readonly key: string; readonly value: unknown; }[];
            if (newRows.some(row => rows.has(row.key))) {
                reply(response, 412, "{}");
                return;
            }
            newRows.forEach(row => store(row.key, row.value));
            replyToWrite(response, 201, undefined, lost);
            return;
        }
        if (!isPreconditionMet(incoming, key)) {
            reply(response, 412, "{}");
            return;
        }
        replyToWrite(response, 200, store(key, body), lost);
    };

    const replyToWrite = (response: ServerResponse, status: number, version: number | undefined, lost: boolean) => {
        if (lost) {
            response.destroy();
            return;
        }
        reply(response, status, "{}", version);
    };

    const serveObjects = async (incoming: IncomingMessage, response: ServerResponse, url: URL) => {
        const key = decodeURIComponent(url.pathname.slice("/objects/".length));
        if (incoming.method === "PUT") {
            objects.set(key, await readBody(incoming));
            reply(response, 200, "{}");
            return;
        }
        if (key === "") {
            const prefix = url.searchParams.get("prefix") ?? "";
            reply(response, 200, JSON.stringify([...objects.keys()].filter(name => name.startsWith(prefix)).sort()));
            return;
        }
        const stored = objects.get(key);
        reply(response, stored === undefined ? 404 : 200, stored ?? "");
    };

    const serveInstances = (incoming: IncomingMessage, response: ServerResponse, url: URL) => {
        const latestVisibleMillis = performance.now() - faults.listLagMillis;
        const list = listVersions.filter(each => each.setAtMillis <= latestVisibleMillis).at(-1) ?? listVersions[0]!;
        if (incoming.headers["if-none-match"] === `"${list.version}"`) {
            reply(response, 304, "", list.version);
            return;
        }
        const view = addressViews[url.searchParams.get("viewer") ?? ""] ?? {};
        const visibleInstances = list.instances.map(each => {
            const entry = each as { readonly peerAddress?: string; readonly address?: string; };
            const { peerAddress, address } = entry;
            return {
                ...entry,
                ...peerAddress === undefined ? {} : { peerAddress: view[peerAddress] ?? peerAddress },
                ...address === undefined ? {} : { address: view[address] ?? address }
            };
        });
        reply(response, 200, JSON.stringify(visibleInstances), list.version);
    };

    const serve = async (incoming: IncomingMessage, response: ServerResponse) => {
        const url = new URL(incoming.url ?? "/", "http://platform");
        const isWrite = incoming.method !== "GET";
        const isAllowed = isWrite
            ? writeCounter.tryIncrement(maxWritesPerSecond)
            : readCounter.tryIncrement(maxReadsPerSecond);
        if (faults.delayMillis > 0) {
            await new Promise(resolve => setTimeout(resolve, faults.delayMillis));
        }
        if (faults.isDown) {
            response.destroy();
            return;
        }
        if (!isAllowed) {
            refused += 1;
            reply(response, 503, "{}");
            return;
        }
        if (isWrite) {
            writes += 1;
        }
        else {
            reads += 1;
        }
        const lost = isWrite && random() < faults.lostResponseShare;
        if (url.pathname.startsWith("/table")) {
            await serveTable(incoming, response, url, lost);
        }
        else if (url.pathname.startsWith("/objects")) {
            await serveObjects(incoming, response, url);
        }
        else {
            serveInstances(incoming, response, url);
        }
    };

    const server = createServer({ keepAliveTimeout: 30_000 }, (incoming, response) => {
        serve(incoming, response).catch(() => response.destroy());
    });
    await listen(server, port);
    return {
        port: getListeningPort(server),
        faults,
        setInstances: instances => {
            listVersions = [...listVersions.slice(-200), {
                version: (listVersions.at(-1)?.version ?? 0) + 1,
                setAtMillis: performance.now(),
                instances
            }];
        },
        setAddressMappings: next => addressViews = next,
        record: () => ({
            writes,
            reads,
            refused,
            peakWritesPerSecond: writeCounter.peak(),
            peakReadsPerSecond: readCounter.peak()
        }),
        rows: () => rows,
        keepCopy: () => copiedRows = new Map(rows),
        returnToCopy: () => {
            rows = new Map(copiedRows);
            era += 1;
        },
        close: () =>
            new Promise(resolve => {
                server.closeAllConnections();
                server.close(() => resolve());
            })
    };
}

/** Starts a server on the given address, loopback by default, and resolves when it listens. */
export function listen(server: Server, port: number, host = "127.0.0.1"): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
}

/** Returns the port that a server listens on, or 0 when it has none. */
export function getListeningPort(server: Server): number {
    const address = server.address();
    return typeof address === "object" ? address?.port ?? 0 : 0;
}
