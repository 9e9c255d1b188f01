import { type ClientLimits, decodeUntrustedJson, startTransferTimer, type Teardown } from "@endivebridge/shared";
import { createServer, get, type IncomingMessage, type RequestListener } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import type { EventLog } from "./EventLog";
import { StateSnapshot } from "./StateSnapshot";

/** Address of an instance that serves a snapshot of its state. */
export interface SnapshotSource {
    readonly name: string;
    readonly host: string;
    readonly peerPort: number;
}

const path = "/beliefs";
/** Delay before the first request to a sibling; the store is read first and answers within this time if available. */
const firstRequestDelayMillis = 400;
const requestIntervalMillis = 300;
/** A sibling that is silent for this long is given up; a slow link alone is no reason to ask the next one. */
const silenceTimeoutMillis = 1_500;
const maxTransferMillis = 6_000;
/** Limit on the size of a snapshot; a configuration of thousands of routes is below a megabyte. */
const maxSnapshotBytes = 16_777_216;

/** Address of the server for peers, and what it serves. */
export interface PeerServerParts {
    readonly host: string;
    readonly port: number;
    /** Undefined while the state is incomplete. */
    readonly makeSnapshot: () => StateSnapshot | undefined;
    /** Whether a message is a request that an instance forwards, and not one for the snapshot. */
    readonly isForwarded: (message: IncomingMessage) => boolean;
    readonly onForwarded: RequestListener;
    readonly limits: ClientLimits;
    readonly log: EventLog;
}

/** Connections between instances stay open for longer than a forwarding instance keeps them idle. */
const idleTimeoutMillis = 15_000;

/** Above the limit for callers, as a forwarded request has one more header. */
const maxHeaderBytes = 65_536;

/** Serves snapshots of this instance's state to starting instances, and the requests that peers forward. */
export function startPeerServer(
    { host, port, makeSnapshot, isForwarded, onForwarded, limits, log }: PeerServerParts
): Teardown {
    const server = createServer({
        keepAliveTimeout: idleTimeoutMillis,
        maxHeaderSize: maxHeaderBytes,
        requireHostHeader: false,
        noDelay: true
    }, (request, response) => {
        if (isForwarded(request)) {
            onForwarded(request, response);
            return;
        }
        const beliefs = request.url === path ? makeSnapshot() : undefined;
        if (beliefs === undefined) {
            response.writeHead(request.url === path ? 503 : 404, { "Content-Length": 0 }).end();
            return;
        }
        const body = JSON.stringify(StateSnapshot.encode(beliefs));
        response.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) });
        response.end(body);
    });
    limits.register(server);
    server.on("error", error => log.warn("beliefs", { error: error.message }, "server for peers failed"));
    server.listen(port, host);
    return () => {
        server.close();
        server.closeAllConnections();
    };
}

/** Fetches the state snapshot of one instance. */
export function fetchSnapshot({ host, peerPort }: SnapshotSource): Promise<Either<string, StateSnapshot>> {
    return new Promise(resolve => {
        const finish = (result: Either<string, StateSnapshot>) => {
            timer.stop();
            resolve(result);
            request.destroy();
        };
        const request = get({ host, port: peerPort, path, agent: false }, response => {
            const chunks: Buffer[] = [];
            let length = 0;
            response.on("data", (chunk: Buffer) => {
                timer.recordChunk();
                chunks.push(chunk);
                length += chunk.length;
                if (length > maxSnapshotBytes) {
                    finish(Left("snapshot exceeds the size limit"));
                }
            });
            response.on("error", error => finish(Left(error.message)));
            response.on("end", () => {
                finish(
                    response.statusCode === 200 ? decode(Buffer.concat(chunks)) : Left(`status ${response.statusCode}`)
                );
            });
        });
        const timer = startTransferTimer({
            firstByteMillis: silenceTimeoutMillis,
            silenceMillis: silenceTimeoutMillis,
            maxTransferMillis
        }, detail => finish(Left(detail)));
        request.on("error", error => finish(Left(error.message)));
    });
}

function decode(body: Buffer): Either<string, StateSnapshot> {
    return decodeUntrustedJson(StateSnapshot, body).chain(snapshot =>
        // An instance without servers serves no snapshot, so that none of those listed was valid.
        snapshot.servers.length > 0 ? Right(snapshot) : Left("snapshot names no valid server")
    );
}

/** Inputs of the loop that fetches a snapshot from siblings. */
export interface SnapshotRequestOptions {
    readonly isStateComplete: () => boolean;
    /** Instances that may serve a snapshot, the nearest first. */
    readonly sources: () => readonly SnapshotSource[];
    readonly applySnapshot: (beliefs: StateSnapshot, source: SnapshotSource) => void;
    readonly log: EventLog;
}

/** Requests a snapshot from each sibling in turn until the state, from a sibling or the store, suffices to serve. */
export function startSnapshotRequests(
    { isStateComplete, sources, applySnapshot, log }: SnapshotRequestOptions
): Teardown {
    let requestCount = 0;
    const requestNext = async (): Promise<void> => {
        const known = sources();
        const source = known[requestCount % Math.max(1, known.length)];
        if (isStateComplete()) {
            return;
        }
        if (source !== undefined) {
            requestCount += 1;
            const answer = await fetchSnapshot(source);
            answer.ifLeft(detail =>
                log.info(
                    "beliefs",
                    { source: source.name, detail },
                    "no state snapshot from sibling; trying the next one"
                )
            );
            if (!isStateComplete()) {
                answer.ifRight(beliefs => applySnapshot(beliefs, source));
            }
        }
        timer = setTimeout(() => void requestNext(), requestIntervalMillis);
    };
    let timer = setTimeout(() => void requestNext(), firstRequestDelayMillis);
    return () => clearTimeout(timer);
}
