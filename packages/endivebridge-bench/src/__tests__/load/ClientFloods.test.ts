// Guards against clients that make an instance hold what they send and don't finish, until its process runs out of memory
// or descriptors, or that keep it busy, so that it serves no others.

import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { PeerService } from "@endivebridge/protocol";
import { range } from "@endivebridge/shared";
import { type ClientFlood, type FloodConnection, openClientFlood, watchProcess } from "@endivebridge/standins";
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { peerKey } from "../../InstanceProcesses";
import type { Testbed } from "../../Testbed";
import { pause, smallDeployment, startSmallTestbed } from "../integration/SmallTestbed";

/** The memory of a machine, with the heap of the deploy file. */
const memoryMegabytes = 350;
const nodeArguments = ["--max-old-space-size=128", "--max-semi-space-size=2"];
const callerConnections = 200;
/** Servers, peers, the platform and the files of a process need few beside those of callers. */
const maxDescriptors = callerConnections + 200;
const floodMillis = 2_500;
const attempts = 5;
const attemptPatienceMillis = 6_000;
const megabyte = 1_048_576;

const deployment = {
    ...smallDeployment,
    name: "single",
    regions: ["east"],
    instancesPerDomain: 1
};

const head = (lines: readonly string[], index: number) =>
    [
        "POST /circulation/checkouts HTTP/1.1",
        "Host: desk.example",
        `Idempotency-Key: flood-${index}`,
        "Endivebridge-Deadline-Millis: 2000",
        ...lines,
        "\r\n"
    ].join("\r\n");
const chunked = (index: number) => head(["Transfer-Encoding: chunked"], index);
const chunkOf = (bytes: number) => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
const read = "GET /circulation/holds HTTP/1.1\r\nHost: desk.example\r\nEndivebridge-Deadline-Millis: 2000\r\n\r\n";

interface Flood {
    readonly connections: number;
    readonly connection: (index: number) => FloodConnection;
}

/** What each kind of flood sends to the address for callers. */
const floods: Readonly<Record<string, Flood>> = {
    "bodies in chunks of one byte": {
        connections: 190,
        connection: index => ({ begin: chunked(index), repeat: chunkOf(1) })
    },
    "bodies in chunks of 64 KB that stop short of their end": {
        connections: 190,
        connection: index => ({ begin: chunked(index), repeat: chunkOf(65_536), maxBytes: 0.9 * megabyte })
    },
    "requests sent ahead": { connections: 30, connection: () => ({ begin: "", repeat: read }) },
    "writes sent ahead with bodies in chunks": {
        connections: 30,
        connection: index => ({ begin: "", repeat: `${chunked(index)}${chunkOf(1).repeat(20)}0\r\n\r\n` })
    },
    "requests sent ahead without headers": {
        connections: 190,
        connection: () => ({ begin: "", repeat: "GET /circulation/holds HTTP/1.1\r\n\r\n" })
    },
    "look-ups sent ahead": {
        connections: 190,
        connection: () => ({
            begin: "",
            repeat: "GET /.endivebridge/lookup?service=circulation HTTP/1.1\r\nHost: a\r\n\r\n"
        })
    },
    "commands without the operators' key sent ahead": {
        connections: 190,
        connection: () => ({
            begin: "",
            repeat: `POST /.endivebridge/operator/command HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n${
                "x".repeat(9)
            }`
        })
    },
    "request heads that stop short of their end": {
        connections: 600,
        connection: () => ({ begin: read.slice(0, -2) })
    },
    "connections that send nothing": { connections: 600, connection: () => ({ begin: "" }) },
    "a byte of a body now and then": {
        connections: 600,
        connection: index => ({ begin: chunked(index), repeat: chunkOf(1), repeatMillis: 500 })
    }
};

/** Asks for an answer as callers do, some times; resolves with whether one was served. */
async function isServed({ instances }: Testbed, index = 0): Promise<boolean> {
    for (const attempt of range(attempts)) {
        const status = await fetch(`http://${instances[index]!.callerAddress}/circulation/holds`, {
            headers: { "X-Token": `ordinary-${attempt}`, "Connection": "close" },
            signal: AbortSignal.timeout(attemptPatienceMillis)
        }).then(async response => {
            await response.arrayBuffer();
            return response.status;
        }, () => undefined);
        if (status === 200) {
            return true;
        }
        await pause(300);
    }
    return false;
}

async function startLimitedTestbed(t: ExecutionContext): Promise<Testbed> {
    const testbed = await startSmallTestbed({ deployment, nodeArguments, limits: { callerConnections } });
    t.teardown(testbed.close);
    return testbed;
}

function openFlood({ instances }: Testbed, flood: Flood): ClientFlood {
    const [host = "", port] = instances[0]!.callerAddress.split(":");
    return openClientFlood({ host, port: Number(port), ...flood });
}

/** Checks an instance beside a flood and after it. */
async function checkBesideFlood(
    t: ExecutionContext,
    testbed: Testbed,
    openFloods: () => readonly ClientFlood[],
    index = 0
): Promise<void> {
    const watch = watchProcess(testbed.instances[index]!.process!);
    t.teardown(watch.stop);
    t.true(await isServed(testbed, index), "served in calm");
    const opened = openFloods();
    t.teardown(() => opened.forEach(flood => flood.close()));
    await pause(floodMillis);
    const isServedBeside = await isServed(testbed, index);
    const sent = opened.reduce((sum, flood) => sum + flood.sentBytes(), 0);
    t.true(watch.isRunning(), "the process runs beside the flood");
    const use = watch.use();
    t.log(
        `${use.memoryMegabytes} MB and ${use.descriptors} descriptors at most; ${Math.round(sent / megabyte)} MB sent`
    );
    opened.forEach(flood => flood.close());
    t.true(isServedBeside, "served beside the flood");
    t.true(await isServed(testbed, index), "served after the flood");
    t.true(watch.isRunning(), "the process runs after the flood");
    t.true(use.memoryMegabytes <= memoryMegabytes, `${use.memoryMegabytes} MB`);
    t.true(use.descriptors <= maxDescriptors, `${use.descriptors} descriptors`);
}

for (const [name, flood] of Object.entries(floods)) {
    test.serial(`serves others beside ${name}`, async t => {
        t.timeout(120_000);
        const testbed = await startLimitedTestbed(t);
        await checkBesideFlood(t, testbed, () => [openFlood(testbed, flood)]);
    });
}

test.serial("serves others beside requests sent ahead and bodies in chunks of one byte", async t => {
    t.timeout(120_000);
    const testbed = await startLimitedTestbed(t);
    await checkBesideFlood(
        t,
        testbed,
        () => ["requests sent ahead", "bodies in chunks of one byte"].map(name => openFlood(testbed, floods[name]!))
    );
});

test.serial("closes connections whose body is above the limit and has no end", async t => {
    t.timeout(120_000);
    const testbed = await startLimitedTestbed(t);
    const flood = openFlood(testbed, {
        connections: 5,
        connection: index => ({ begin: chunked(index), repeat: chunkOf(4_096), maxBytes: Infinity })
    });
    t.teardown(flood.close);
    const isEveryOneClosed = async () => {
        for (let polls = 0; polls < 150; polls += 1) {
            await pause(100);
            if (flood.openCount() === 0) {
                return true;
            }
        }
        return false;
    };
    t.true(await isEveryOneClosed());
});

test.serial("ends on the stop signal beside requests sent ahead", async t => {
    t.timeout(120_000);
    const testbed = await startLimitedTestbed(t);
    const child = testbed.instances[0]!.process!;
    const flood = openFlood(testbed, floods["requests sent ahead"]!);
    t.teardown(flood.close);
    await pause(floodMillis);
    child.kill("SIGTERM");
    await Promise.race([once(child, "exit"), pause(40_000)]);
    t.is(child.exitCode, 0);
});

test.serial("ends on the stop signal after clients have left whose requests had no answer", async t => {
    t.timeout(120_000);
    const testbed = await startSmallTestbed({ deployment, nodeArguments, timing: { drainMillis: 60_000 } });
    t.teardown(testbed.close);
    testbed.backends.forEach(({ standIn }) => standIn.behaviour.serviceMillis = 1_000);
    const child = testbed.instances[0]!.process!;
    const flood = openFlood(testbed, { connections: 10, connection: () => ({ begin: read.repeat(20) }) });
    await pause(1_000);
    flood.close();
    await pause(1_000);
    child.kill("SIGTERM");
    await Promise.race([once(child, "exit"), pause(30_000)]);
    t.is(child.exitCode, 0);
});

/** Asks an instance for the prefix of the operations that it owns. */
async function readOperationPrefix(callerAddress: string, owner: string): Promise<string> {
    const lookup = await fetch(`http://${callerAddress}/.endivebridge/lookup?service=circulation`);
    const { instances } = await lookup.json() as {
        readonly instances: readonly { readonly instance: string; readonly operationPrefix: string; }[];
    };
    return instances.find(({ instance }) => instance === owner)!.operationPrefix;
}

test.serial("serves others at the instance that owns large operations which callers send to a peer", async t => {
    t.timeout(120_000);
    const testbed = await startSmallTestbed({
        deployment: { ...deployment, instancesPerDomain: 2 },
        nodeArguments,
        limits: { callerConnections }
    });
    t.teardown(testbed.close);
    const [receiver, owner] = testbed.instances;
    testbed.backends.forEach(({ standIn }) => standIn.behaviour.serviceMillis = 1_000);
    const prefix = await readOperationPrefix(owner!.callerAddress, owner!.instance);
    const body = "x".repeat(0.9 * megabyte);
    const flood: Flood = {
        connections: 190,
        connection: index => ({
            begin: [
                "POST /circulation/checkouts HTTP/1.1",
                "Host: desk.example",
                `Endivebridge-Operation: ${prefix}.${index}`,
                "Endivebridge-Deadline-Millis: 8000",
                `Content-Length: ${body.length}`,
                `\r\n${body}`
            ].join("\r\n")
        })
    };
    const watch = watchProcess(receiver!.process!);
    t.teardown(watch.stop);
    await checkBesideFlood(t, testbed, () => [openFlood(testbed, flood)], 1);
    t.true(watch.isRunning(), "the receiving process runs");
    t.true(await isServed(testbed), "the receiving instance serves");
    const { memoryMegabytes: receiverMegabytes } = watch.use();
    t.true(receiverMegabytes <= memoryMegabytes, `${receiverMegabytes} MB at the receiving instance`);
});

/** Sends operations to their owner as a peer does whose callers have sent them all at once. */
async function openPeerFlood({ instances }: Testbed, calls: number, bodyBytes: number): Promise<ClientFlood> {
    const { callerAddress, peerAddress } = instances[0]!;
    const prefix = await readOperationPrefix(callerAddress, instances[0]!.instance);
    const client = createClient(
        PeerService,
        createConnectTransport({
            baseUrl: `http://${peerAddress}`,
            httpVersion: "2",
            interceptors: [next => request => {
                request.header.set("endivebridge-peer-key", peerKey);
                request.header.set("endivebridge-body-bytes", String(bodyBytes));
                return next(request);
            }]
        })
    );
    const ended = new AbortController();
    const body = new Uint8Array(bodyBytes);
    let sentBytes = 0;
    const sendOperations = async (index: number): Promise<void> => {
        for (let count = 0; !ended.signal.aborted; count += 1) {
            sentBytes += bodyBytes;
            const request = {
                service: "circulation",
                method: "POST",
                path: "/checkouts",
                body,
                deadlineMillis: 4_000,
                operation: `${prefix}.${index}x${count}`,
                sourceRegion: "east",
                request: `flood-${index}`
            };
            await client.runOperation({ request }, { signal: ended.signal }).catch(() => pause(100));
        }
    };
    range(calls).forEach(index => void sendOperations(index));
    return { sentBytes: () => sentBytes, openCount: () => calls, close: () => ended.abort() };
}

test.serial("serves others beside large operations that a peer passes on", async t => {
    t.timeout(120_000);
    const testbed = await startLimitedTestbed(t);
    testbed.backends.forEach(({ standIn }) => standIn.behaviour.serviceMillis = 1_000);
    const flood = await openPeerFlood(testbed, 400, Math.floor(0.9 * megabyte));
    await checkBesideFlood(t, testbed, () => [flood]);
});
