// Guards against idle connections that close sooner than callers were told, while a request on them may be under way.

import { makeClientLimits, makeHeldMemory } from "@endivebridge/shared";
import test from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { applyCallerLimits, type CallerServerParts, makeCallerServer } from "../../CallerServer";
import { makeEventLog } from "../../EventLog";
import { makeGatewayMetrics } from "../../GatewayMetrics";

const request = "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n";

function configurationWith(idleTimeoutMillis: number) {
    return {
        version: 1,
        routes: [],
        services: new Map(),
        callerLimits: { headerBytes: 16_384, bodyBytes: 16_384, headerTimeoutMillis: 3_000, idleTimeoutMillis }
    };
}

/** Starts a server without a configuration, which refuses every request and keeps the connection. */
async function startServer(firstIdleTimeoutMillis: number, answerDelayMillis: number) {
    const callerServer = makeCallerServer({
        dialect: { requestIdHeader: "x-id", deadlineHeader: "x-deadline", affinityCookie: "key" },
        configuration: () => undefined,
        whenStateComplete: () => sleep(answerDelayMillis),
        readForwarded: () => undefined,
        limits: makeClientLimits({
            maxConnections: 10,
            memory: makeHeldMemory(1_000_000),
            onClose: () => undefined
        }),
        isLeaving: () => false,
        stopEndMillis: () => Infinity,
        log: makeEventLog("test", "own", { write: () => undefined, takeDroppedCount: () => 0 }),
        metrics: makeGatewayMetrics()
    } as unknown as CallerServerParts);
    applyCallerLimits(callerServer, configurationWith(firstIdleTimeoutMillis));
    callerServer.server.listen(0, "127.0.0.1");
    await once(callerServer.server, "listening");
    const socket = connect((callerServer.server.address() as AddressInfo).port, "127.0.0.1");
    return {
        callerServer,
        socket,
        close: () => {
            socket.destroy();
            callerServer.server.close();
        }
    };
}

/** Returns the next bytes on the connection, or "closed" if there are none. */
async function nextAnswer(socket: Socket): Promise<string> {
    if (socket.closed) {
        return "closed";
    }
    return Promise.race([
        once(socket, "data").then(([answer]) => String(answer)),
        once(socket, "close").then(() => "closed")
    ]);
}

test("keeps an idle connection open for a longer idle timeout that is configured meanwhile", async t => {
    const { callerServer, socket, close } = await startServer(500, 0);
    t.teardown(close);
    socket.write(request);
    await nextAnswer(socket);
    applyCallerLimits(callerServer, configurationWith(5_000));
    await sleep(4_000);
    socket.write(request);
    t.regex(await nextAnswer(socket), /^HTTP\/1\.1 503 /);
});

test("keeps a connection open as long as its last answer declares, even if the idle timeout is lowered", async t => {
    const { callerServer, socket, close } = await startServer(5_000, 200);
    t.teardown(close);
    socket.write(request);
    await sleep(100);
    applyCallerLimits(callerServer, configurationWith(500));
    t.regex(await nextAnswer(socket), /Keep-Alive: timeout=6/);
    await sleep(4_000);
    socket.write(request);
    t.regex(await nextAnswer(socket), /^HTTP\/1\.1 503 /);
});
