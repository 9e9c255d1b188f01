import { makeCrashRecords } from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import {
    type BackendServer,
    makeHedging,
    makeRequestQueue,
    makeRetryBudget,
    makeServerPool,
    makeServiceTimeEstimates,
    type Route
} from "@endivebridge/traffic";
import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Dialect } from "../../Dialect";
import { makeEventLog } from "../../EventLog";
import { makeGatewayMetrics } from "../../GatewayMetrics";
import { makeRateLimitReports } from "../../RateLimitReports";
import { type RequestResult, runRequest, type RunRequestParts } from "../../RunRequest";
import { ServerConnections } from "../../ServerConnections";

// Guards against an answer that promises a request has not run, though a backend server had it as it crashed.

const dialect: Dialect = {
    requestIdHeader: "request-id",
    deadlineHeader: "deadline",
    affinityCookie: "key",
    targetServerHeader: "target",
    signatureHeader: "signature",
    notExecutedHeader: "not-executed",
    serverIdHeader: "server-id",
    coldMillisHeader: "cold",
    serverLoadHeader: "load",
    serverLimitHeader: "limit",
    serverLeavingHeader: "server-leaving",
    isServerLeaving: () => false,
    pauseHeader: "retry-after",
    parsePauseMillis: () => undefined,
    parseServerLimit: () => undefined,
    parseServerLoad: () => undefined
};

const route: Route = {
    name: "checkout",
    host: "desk.example",
    pathPrefix: "/",
    isIdempotent: false,
    timeoutMillis: 2_000,
    objectiveMillis: 200,
    priority: 0,
    targets: [{ service: "desk", weight: 1 }],
    maximumAttempts: 2,
    hasAffinity: false,
    homeRegions: []
};

const crashAfterMillis = 100;

const service = {
    name: "desk",
    healthPath: "/health",
    maximumConnections: 10,
    coldStartMillis: 0,
    coldRequestsPerSecond: Infinity
};

function makeParts(port: number, hasServerEnded: RunRequestParts["hasServerEnded"]): RunRequestParts {
    const server: BackendServer = {
        id: "s1",
        service: "desk",
        host: "127.0.0.1",
        port,
        failureDomain: "a",
        region: "r",
        slots: 4,
        isLeaving: false,
        coldRemainingMillis: 0,
        bornEpochMillis: 1
    };
    const pool = makeServerPool();
    const placed = {
        tracked: pool.upsert(server, monotonicMillis()),
        rank: 0,
        isRemote: false,
        expectedMillis: 50
    };
    const connections = new ServerConnections(10, 1_000);
    return {
        dialect,
        placement: { choose: () => placed, pauseMillis: () => 0, canHedge: () => true, reserve: () => undefined },
        requestQueue: makeRequestQueue(),
        offerFreeSlots: () => undefined,
        retryBudget: makeRetryBudget({ ratio: 0.2, slack: 10, windowMillis: 10_000 }),
        rateLimitReports: makeRateLimitReports(pool),
        hedging: makeHedging(),
        estimates: makeServiceTimeEstimates(),
        crashRecords: makeCrashRecords(Math.random),
        announceCrash: () => undefined,
        hasServerEnded,
        reachability: { isCutOff: () => false },
        recordConnection: () => undefined,
        peerForwarding: { start: () => undefined },
        instanceCount: () => 1,
        stopEndMillis: () => Infinity,
        connectionsOf: () => connections,
        log: makeEventLog("test", "own", { write: () => undefined, takeDroppedCount: () => 0 }),
        metrics: makeGatewayMetrics()
    };
}

/** Runs a request on a server that resets its connections once it has the request. */
async function runOnCrashingServer(hasServerEnded: RunRequestParts["hasServerEnded"]): Promise<RequestResult> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", () =>
            setTimeout(() => {
                server.close();
                sockets.forEach(open => open.resetAndDestroy());
            }, crashAfterMillis));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const parts = makeParts((server.address() as AddressInfo).port, hasServerEnded);
    return runRequest(parts, {
        request: {
            id: "r1",
            method: "POST",
            host: "desk.example",
            target: "/1",
            path: "/1",
            headers: {},
            body: Buffer.alloc(0),
            patienceMillis: 400,
            affinityKey: undefined
        },
        route,
        service,
        configurationVersion: 1,
        arrivedMillis: monotonicMillis(),
        sinceFirstAttemptMillis: 0,
        forwarded: undefined
    }).result;
}

test("a deadline that passes while a crash is being confirmed does not report the request as not run", async t => {
    const result = await runOnCrashingServer(() => sleep(1_000, true));
    t.deepEqual(result, { kind: "own", answer: "timedOut", retryAfterMillis: undefined });
});
