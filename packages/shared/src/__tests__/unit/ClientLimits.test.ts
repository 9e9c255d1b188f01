// Guards against a parser that takes in all that a client has sent at once, against connections that leave no room for
// others, and against requests that change on the way to the parser.

import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type ClientLimits, makeClientLimits } from "../../ClientLimits";
import { makeHeldMemory } from "../../HeldMemory";
import { range } from "../../Range";

interface LimitedServer {
    readonly limits: ClientLimits;
    readonly closed: readonly string[];
    readonly requestCount: () => number;
    readonly open: (bytes?: string) => Socket;
    /** Opens a connection that the server accepts before this resolves. */
    readonly openInTurn: (bytes?: string) => Promise<Socket>;
}

const pollMillis = 10;
const maxPolls = 1_000;
/** Time in which a server that parses too much would do so. */
const quietMillis = 200;

async function until(holds: () => boolean): Promise<void> {
    for (let polls = 0; polls < maxPolls && !holds(); polls += 1) {
        await sleep(pollMillis);
    }
}

async function startLimitedServer(
    t: ExecutionContext,
    onRequest: RequestListener,
    { maxConnections = 100, memoryBytes = 10_000_000 } = {}
): Promise<LimitedServer> {
    const closed: string[] = [];
    const limits = makeClientLimits({
        maxConnections,
        memory: makeHeldMemory(memoryBytes),
        onClose: kind => closed.push(kind)
    });
    const server = createServer(onRequest);
    limits.register(server);
    let connectionCount = 0;
    let requestCount = 0;
    server.on("connection", () => connectionCount += 1);
    server.on("request", () => requestCount += 1);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => {
        server.close();
        server.closeAllConnections();
    });
    const open = (bytes = "") => {
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write(bytes);
        t.teardown(() => socket.destroy());
        return socket;
    };
    return {
        limits,
        closed,
        requestCount: () => requestCount,
        open,
        openInTurn: async bytes => {
            const earlier = connectionCount;
            const socket = open(bytes);
            await until(() => connectionCount > earlier);
            return socket;
        }
    };
}

const get = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

async function receiveUntil(socket: Socket, end: (text: string) => boolean): Promise<string> {
    let text = "";
    for await (const chunk of socket.iterator({ destroyOnReturn: false })) {
        text += String(chunk);
        if (end(text)) {
            break;
        }
    }
    return text;
}

const countAnswers = (text: string) => text.split("HTTP/1.1 200").length - 1;

test("parses no further requests of a connection while many have no answer", async t => {
    const waiting: (() => void)[] = [];
    const { open } = await startLimitedServer(t, (message, response) => waiting.push(() => response.end(message.url)));
    const socket = open(get("/a").repeat(1_000));
    await until(() => waiting.length >= 32);
    await sleep(quietMillis);
    t.is(waiting.length, 32);
    waiting.shift()!();
    await until(() => waiting.length >= 32);
    await sleep(quietMillis);
    t.is(waiting.length, 32);
    socket.destroy();
});

test("answers all requests that a client sends ahead, in order", async t => {
    const { open } = await startLimitedServer(t, (message, response) => setImmediate(() => response.end(message.url)));
    const count = 3_000;
    const socket = open(range(count).map(index => get(`/${index}`)).join(""));
    const text = await receiveUntil(socket, received => received.endsWith(`/${count - 1}`));
    t.is(countAnswers(text), count);
    t.deepEqual(
        [...text.matchAll(/\r\n\r\n\/(\d+)/g)].map(match => Number(match[1])),
        range(count)
    );
});

test("parses the whole body of a request and at most one request behind it while memory is short", async t => {
    let bodyBytes = 0;
    const { open, limits, requestCount } = await startLimitedServer(t, message => {
        message.on("data", (chunk: Buffer) => bodyBytes += chunk.length);
    });
    limits.memory.claim(8_000_000, () => undefined).keep();
    const body = "x".repeat(200_000);
    open(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}${get("/behind").repeat(9)}`);
    await until(() => bodyBytes === body.length);
    await sleep(quietMillis);
    t.is(bodyBytes, body.length);
    t.true(requestCount() <= 2);
});

const requestArbitrary = fc.record({
    body: fc.array(fc.constantFrom("\r\n", "\r\n\r\n", "x", "0", "GET / HTTP/1.1\r\n\r\n", "y".repeat(3_000)), {
        maxLength: 12
    }).map(parts => parts.join("")),
    chunkBytes: fc.integer({ min: 0, max: 5_000 })
});

function encodeRequest({ body, chunkBytes }: { readonly body: string; readonly chunkBytes: number; }): string {
    const head = "POST / HTTP/1.1\r\nHost: a\r\n";
    if (chunkBytes === 0) {
        return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
    }
    let chunks = "";
    for (let start = 0; start < body.length; start += chunkBytes) {
        const chunk = body.slice(start, start + chunkBytes);
        chunks += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
    }
    return `${head}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}

test("passes on requests unchanged, however they are split", async t => {
    const bodies: string[] = [];
    const { open } = await startLimitedServer(t, (message, response) => {
        let body = "";
        message.on("data", chunk => body += String(chunk));
        message.on("end", () => {
            bodies.push(body);
            response.end("ok");
        });
    });
    await fc.assert(
        fc.asyncProperty(
            fc.array(requestArbitrary, { minLength: 1, maxLength: 60 }),
            fc.integer({ min: 1, max: 30_000 }),
            async (requests, writeBytes) => {
                bodies.length = 0;
                const bytes = requests.map(encodeRequest).join("");
                const socket = open();
                socket.setNoDelay(true);
                const received = receiveUntil(socket, text => countAnswers(text) === requests.length);
                for (let start = 0; start < bytes.length; start += Math.max(writeBytes, bytes.length / 20)) {
                    socket.write(bytes.slice(start, start + Math.max(writeBytes, bytes.length / 20)));
                    await sleep(0);
                }
                await received;
                socket.destroy();
                return bodies.length === requests.length
                    && bodies.every((body, index) => body === requests[index]!.body);
            }
        ),
        { numRuns: 40, seed: 39 }
    );
    t.pass();
});

const answerOk: RequestListener = (message, response) => {
    message.resume();
    response.end("ok");
};

test("closes the connection that has been longest without a request", async t => {
    const { openInTurn, closed } = await startLimitedServer(t, answerOk, { maxConnections: 3 });
    const first = await openInTurn();
    const second = await openInTurn(get("/").slice(0, -2));
    const third = await openInTurn();
    first.write(get("/first"));
    t.is(countAnswers(await receiveUntil(first, text => text.includes("ok"))), 1);
    const fourth = await openInTurn(get("/fourth"));
    t.is(countAnswers(await receiveUntil(fourth, text => text.includes("ok"))), 1);
    await until(() => second.closed);
    t.deepEqual([first, second, third].map(socket => socket.closed), [false, true, false]);
    t.deepEqual(closed, ["connections"]);
});

test("closes a new connection when all others have a request, unless one of them is incomplete", async t => {
    const { openInTurn, closed, requestCount } = await startLimitedServer(t, message => message.resume(), {
        maxConnections: 2
    });
    const inService = await openInTurn(get("/"));
    const uploading = await openInTurn("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx");
    await until(() => requestCount() === 2);
    const second = await openInTurn(get("/"));
    await until(() => uploading.closed && requestCount() === 3);
    t.deepEqual([inService, uploading, second].map(socket => socket.closed), [false, true, false]);
    const third = await openInTurn(get("/"));
    await until(() => third.closed);
    t.deepEqual([inService, second, third].map(socket => socket.closed), [false, false, true]);
    t.deepEqual(closed, ["connections", "connections"]);
});

test("delivers an answer that closes the connection to a client that is still sending", async t => {
    const { open } = await startLimitedServer(t, (message, response) => {
        response.writeHead(413, { "Connection": "close", "Content-Length": 0 });
        response.end(() => message.resume());
    });
    const socket = open("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\n");
    const timer = setInterval(() => socket.write("x".repeat(100_000)), 5);
    const text = await receiveUntil(socket, () => false).catch((error: Error) => error.message);
    clearInterval(timer);
    t.regex(text, /^HTTP\/1\.1 413 /);
});

test("releases the memory of received bytes with their connection", async t => {
    const { open, limits } = await startLimitedServer(t, message => message.resume());
    const sockets = [open(get("/").repeat(500)), open(get("/").repeat(500))];
    await until(() => limits.memory.claimedBytes() > 20_000);
    t.true(limits.memory.claimedBytes() > 20_000);
    sockets.forEach(socket => socket.destroy());
    await until(() => limits.memory.claimedBytes() === 0);
    t.is(limits.memory.claimedBytes(), 0);
});

test("closes connections that send more than the memory allows", async t => {
    const { open, limits, closed } = await startLimitedServer(t, message => message.resume(), { memoryBytes: 100_000 });
    const sockets = [1, 2, 3, 4].map(() => open(get("/").repeat(1_500)));
    await until(() => sockets.some(socket => socket.closed));
    t.true(limits.memory.claimedBytes() <= 100_000);
    t.true(closed.length > 0 && closed.every(kind => kind === "memory"));
});
