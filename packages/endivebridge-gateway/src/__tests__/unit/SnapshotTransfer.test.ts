// Guards against a starting instance that applies a truncated or malformed snapshot, or keeps asking a sibling whose
// own state is incomplete while another sibling could serve it.

import test from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { makeEventLog } from "../../EventLog";
import { fetchSnapshot, startSnapshotRequests } from "../../SnapshotTransfer";
import { configurationOf, makeStateSnapshot, type StateSnapshot } from "../../StateSnapshot";

const beliefs: StateSnapshot = {
    version: 12,
    routes: [{
        name: "search",
        host: "desk.example",
        pathPrefix: "/search/",
        isIdempotent: true,
        timeoutMillis: 2_000,
        objectiveMillis: 400,
        priority: 1,
        targets: [{ service: "desk", weight: 1 }],
        maximumAttempts: 2,
        hasAffinity: true,
        homeRegions: ["fraser"]
    }],
    services: [{
        name: "desk",
        healthPath: "/health",
        maximumConnections: 390,
        coldStartMillis: 3_000,
        coldRequestsPerSecond: 11
    }],
    callerLimits: { headerBytes: 1, bodyBytes: 2, headerTimeoutMillis: 3, idleTimeoutMillis: 4 },
    servers: [{
        id: "i-1",
        service: "desk",
        host: "10.0.0.1",
        port: 80,
        failureDomain: "fraser-a",
        region: "fraser",
        slots: 4,
        isLeaving: true,
        coldRemainingMillis: 5,
        bornEpochMillis: 6
    }],
    evacuatedDomains: ["fraser-b"]
};

/** Starts a sibling that answers each request with the given status and body. */
async function startSibling(status: number, body: string) {
    const server = createServer(({}, response) => response.writeHead(status).end(body));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port: peerPort } = server.address() as AddressInfo;
    return { source: { name: "sibling", host: "127.0.0.1", peerPort }, close: () => server.close() };
}

test("fetches a sibling's snapshot without loss", async t => {
    const sibling = await startSibling(200, JSON.stringify(beliefs));
    t.teardown(sibling.close);
    t.deepEqual((await fetchSnapshot(sibling.source)).unsafeCoerce(), beliefs);
    t.deepEqual(makeStateSnapshot(configurationOf(beliefs), beliefs.servers, beliefs.evacuatedDomains), beliefs);
});

test("fetches a snapshot that takes longer than the response timeout while bytes keep arriving", async t => {
    const body = Buffer.from(JSON.stringify(beliefs));
    const pieceBytes = Math.ceil(body.length / 25);
    const server = createServer(({}, response) => {
        response.writeHead(200, { "Content-Length": body.length });
        let sentBytes = 0;
        const timer = setInterval(() => {
            response.write(body.subarray(sentBytes, sentBytes + pieceBytes));
            sentBytes += pieceBytes;
            if (sentBytes >= body.length) {
                clearInterval(timer);
                response.end();
            }
        }, 100);
        response.on("close", () => clearInterval(timer));
    });
    t.teardown(() => server.close());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port: peerPort } = server.address() as AddressInfo;
    const answer = await fetchSnapshot({ name: "sibling", host: "127.0.0.1", peerPort });
    t.deepEqual(answer.extract(), beliefs);
});

test("rejects truncated, malformed and refused snapshots", async t => {
    const text = JSON.stringify(beliefs);
    const answers = [
        [200, text.slice(0, -9)],
        [200, JSON.stringify({ ...beliefs, servers: [{ id: "i-1" }] })],
        [200, JSON.stringify({ ...beliefs, version: "12" })],
        [503, text]
    ] as const;
    for (const [status, body] of answers) {
        const sibling = await startSibling(status, body);
        t.true((await fetchSnapshot(sibling.source)).isLeft());
        sibling.close();
    }
});

test("requests a snapshot from each sibling in turn until one has it", async t => {
    const incompleteSibling = await startSibling(503, "");
    const completeSibling = await startSibling(200, JSON.stringify(beliefs));
    t.teardown(incompleteSibling.close);
    t.teardown(completeSibling.close);
    const sourceName = await new Promise<string>(resolve => {
        let isStateComplete = false;
        startSnapshotRequests({
            isStateComplete: () => isStateComplete,
            sources: () => [incompleteSibling.source, { ...completeSibling.source, name: "second" }],
            applySnapshot: ({}, source) => {
                isStateComplete = true;
                resolve(source.name);
            },
            log: makeEventLog("test", "own", { write: () => undefined, takeDroppedCount: () => 0 })
        });
    });
    t.is(sourceName, "second");
});
