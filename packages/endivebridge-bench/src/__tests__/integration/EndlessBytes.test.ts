// Guards against requests that are held, answered wrongly or leak memory or connections when a backend server sends
// bytes without end.
import { endlessBodies, endlessBytesAfter, endlessNonAnswers, type EndlessResponse } from "@endivebridge/standins";
import test, { type ExecutionContext } from "ava";
import { readFileSync } from "node:fs";
import { type IncomingMessage, request as openRequest } from "node:http";
import { type SingleInstance, startSingleInstance } from "./SingleInstance";
import { pause } from "./SmallTestbed";

const deadlineMillis = 1_500;
/** A failure is known from the first bytes beyond the limits, long before the deadline. */
const promptMillis = deadlineMillis / 2;
/** Time after the deadline in which an unanswered request must have ended. */
const deadlineSlackMillis = 500;
const maxGrowthBytes = 64 * 1_048_576;
/** Bytes that a server can send to a caller that does not read, socket buffers included. */
const maxUnreadBytes = 32 * 1_048_576;

let single: SingleInstance;
let nextResponse: EndlessResponse | undefined;
/** Whether hedged and repeated sends get the endless response too. */
let isResponseRepeated = false;

const okHead = "HTTP/1.1 200 OK\r\nX-Server: stand-in\r\n";
const answer = `${okHead}Content-Length: 6\r\n\r\nanswer`;

test.before(async () => {
    single = await startSingleInstance(() => {
        const response = nextResponse ?? answer;
        nextResponse = isResponseRepeated ? nextResponse : undefined;
        return response;
    });
});

test.after.always(() => single.close());

function residentBytes(): number {
    const status = readFileSync(`/proc/${single.testbed.instances[0]!.process!.pid}/status`, "utf8");
    return Number(/VmRSS:\s*(\d+)/.exec(status)?.[1]) * 1_024;
}

/** What a caller received, and how long it took. */
interface Received {
    readonly status: number;
    readonly body: string;
    readonly isComplete: boolean;
    readonly tookMillis: number;
}

interface CallerBehaviour {
    readonly isRepeated?: boolean;
    /** Key of a write; a call without one is a read. */
    readonly key?: string;
    readonly onResponse?: (response: IncomingMessage) => void;
}

/** Sends a request whose first response is `response`, and keeps only the first bytes of the answer. */
function callOnce(
    response: EndlessResponse | undefined,
    { key, isRepeated = false, onResponse = () => undefined }: CallerBehaviour = {}
): Promise<Received> {
    nextResponse = response;
    isResponseRepeated = isRepeated;
    const startedMillis = performance.now();
    const [host, port] = single.testbed.instances[0]!.callerAddress.split(":");
    return new Promise(resolve => {
        let status = 0;
        let body = "";
        const finish = (isComplete: boolean) =>
            resolve({ status, body, isComplete, tookMillis: performance.now() - startedMillis });
        const request = openRequest({
            host,
            port,
            path: key === undefined ? "/circulation/holds" : "/circulation/checkouts",
            method: key === undefined ? "GET" : "POST",
            agent: false,
            headers: {
                "Endivebridge-Deadline-Millis": String(deadlineMillis),
                ...key === undefined ? {} : { "Idempotency-Key": key }
            }
        }, incoming => {
            status = incoming.statusCode ?? 0;
            incoming.on("data", (chunk: Buffer) => body += body.length < 100 ? chunk.toString("latin1") : "");
            incoming.on("error", () => undefined);
            incoming.on("close", () => finish(incoming.complete));
            onResponse(incoming);
        });
        request.on("error", () => finish(false));
        const timer = setTimeout(() => request.destroy(), 2 * deadlineMillis);
        request.on("close", () => clearTimeout(timer));
        request.end();
    });
}

const endlessConnections = () => single.standIns.flatMap(standIn => standIn.endlessConnections);

/** Runs a call and checks that it closes all endless connections and that the instance's memory stays bounded. */
async function checkBounded(t: ExecutionContext, run: () => Promise<Received>): Promise<Received> {
    const before = residentBytes();
    const earlier = new Set(endlessConnections());
    let most = before;
    const timer = setInterval(() => most = Math.max(most, residentBytes()), 20);
    const result = await run();
    await pause(deadlineSlackMillis);
    clearInterval(timer);
    const opened = endlessConnections().filter(connection => !earlier.has(connection));
    t.true(opened.every(connection => connection.isClosed()));
    t.true(most - before < maxGrowthBytes);
    return result;
}

/** Sends ordinary reads, which the retry budget is a share of. */
async function earnRetryBudget(): Promise<void> {
    for (let count = 0; count < 40; count += 1) {
        await callOnce(undefined);
    }
}

const nonAnswers = {
    ...endlessNonAnswers(okHead),
    "a body without a declared length": { begin: `${okHead}\r\n`, repeat: "x" }
};

for (const [name, response] of Object.entries(nonAnswers)) {
    test.serial(`sends a read again and reports a write as lost when a server sends ${name} without end`, async t => {
        await earnRetryBudget();
        const read = await checkBounded(t, () => callOnce(response));
        t.like(read, { status: 200, body: "answer", isComplete: true });
        t.true(read.tookMillis < promptMillis);
        const write = await checkBounded(t, () => callOnce(response, { key: `write-${name.replaceAll(" ", "-")}` }));
        t.like(write, { status: 502, isComplete: true });
        t.true(write.tookMillis < promptMillis);
    });
}

for (const key of [undefined, "write"]) {
    test.serial(`sends a ${key ?? "read"} again when a server rejects it with an endless body`, async t => {
        await earnRetryBudget();
        const head = "HTTP/1.1 503 Busy\r\nRequest-Not-Run: 1\r\n";
        const received = await checkBounded(t, () => callOnce(endlessBodies(head)["a chunked body"], { key }));
        t.like(received, { status: 200, body: "answer", isComplete: true });
        t.true(received.tookMillis < promptMillis);
    });
}

for (const [name, response] of Object.entries(endlessBodies(okHead))) {
    test.serial(`breaks off a read's answer at the deadline when a server sends ${name} without end`, async t => {
        const received = await checkBounded(t, () => callOnce(response, { isRepeated: true }));
        t.like(received, { status: 200, isComplete: false });
        t.true(received.tookMillis < deadlineMillis + deadlineSlackMillis);
    });

    test.serial(`reports the answer of a write as not kept when a server sends ${name} without end`, async t => {
        const received = await checkBounded(t, () => callOnce(response, { key: `kept-${name.replaceAll(" ", "-")}` }));
        t.like(received, { status: 409, isComplete: true });
        t.true(received.tookMillis < promptMillis);
    });
}

test.serial("bounds the bytes read for a caller that does not read an endless answer", async t => {
    const received = await checkBounded(t, () =>
        callOnce(endlessBodies(okHead)["a chunked body"], {
            isRepeated: true,
            onResponse: incoming => {
                incoming.pause();
                setTimeout(() => incoming.destroy(), deadlineMillis + deadlineSlackMillis);
            }
        }));
    t.false(received.isComplete);
    t.true(endlessConnections().at(-1)!.sentBytes() < maxUnreadBytes);
});

test.serial("closes the connection to the server when the caller leaves in the middle of an endless answer", async t => {
    const received = await checkBounded(t, () =>
        callOnce(endlessBodies(okHead)["a chunked body"], {
            isRepeated: true,
            onResponse: incoming => setTimeout(() => incoming.destroy(), 100)
        }));
    t.true(received.tookMillis < promptMillis);
});

for (const [name, response] of Object.entries(endlessBytesAfter(answer))) {
    test.serial(`returns a complete answer that is followed by ${name} without end`, async t => {
        for (const key of [undefined, `complete-${name.replaceAll(" ", "-")}`]) {
            const received = await checkBounded(t, () => callOnce(response, { key }));
            t.like(received, { status: 200, body: "answer", isComplete: true });
            t.true(received.tookMillis < promptMillis);
            t.is((await callOnce(undefined)).body, "answer");
        }
    });
}
