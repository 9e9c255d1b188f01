import type { HeldSlot } from "@endivebridge/core";
import test, { type ExecutionContext } from "ava";
import { Result } from "effect";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { makeBackendConnections } from "../../BackendConnections";
import { type DispatchResult, startDispatch } from "../../DispatchRequest";
import type { SteeringRequest } from "../../SteeringRequest";

/** Starts a backend server that handles the n-th request of a connection; returns a function that sends it a write. */
async function startServer(t: ExecutionContext, onRequest: (socket: Socket, indexOnConnection: number) => void) {
    const server = createServer(socket => {
        let count = 0;
        socket.on("error", () => undefined);
        socket.on("data", () => {
            onRequest(socket, count);
            count += 1;
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const connections = makeBackendConnections({ connectionsPerServer: 4, idleMillis: 10_000 });
    t.teardown(() => {
        connections.closeAll();
        server.close();
    });
    const owned = { server: "s1", address: `127.0.0.1:${(server.address() as AddressInfo).port}`, latency: {} };
    const slot = { owned, release: () => undefined } as unknown as HeldSlot;
    return (): Promise<DispatchResult> =>
        new Promise(resolve => {
            const request = {
                request: "r1",
                method: "POST",
                path: "/checkouts",
                headers: [],
                body: Buffer.from("{}"),
                idempotent: false,
                deadlineAtMillis: performance.now() + 2_000
            } as unknown as SteeringRequest;
            startDispatch(
                {
                    connections,
                    heldAnswerBytes: 65_536,
                    cancelHoldMillis: 0,
                    lateThresholdMillis: 1_000,
                    onLate: () => undefined,
                    canAbandon: () => false,
                    onAnswer: () => undefined,
                    onConnection: () => undefined
                },
                request,
                slot,
                resolve
            );
        });
}

const refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

test("a refusal that a server sends again on a kept connection is not taken for the answer to a write that runs", async t => {
    let runs = 0;
    const send = await startServer(t, (socket, indexOnConnection) => {
        runs += indexOnConnection > 0 ? 1 : 0;
        socket.write(refusal);
    });
    for (const result of [await send(), await send(), await send()]) {
        t.true(Result.isFailure(result) && result.failure.ran === "no");
    }
    t.is(runs, 0, "each write has a connection of its own");
});

const head = "HTTP/1.1 200 OK\r\nX-Server: s1\r\nContent-Length: 1000\r\n\r\n";

for (const length of [8, 15, 17, 31, 33, head.length - 4, head.length - 3, head.length - 2, head.length - 1]) {
    test(`an answer that ends after ${length} bytes of its head is lost, not complete`, async t => {
        const send = await startServer(t, socket => socket.end(head.slice(0, length)));
        const result = await send();
        t.true(Result.isFailure(result) && result.failure.ran === "maybe");
    });
}
