// A small deployment for the review's cases: the program of the deploy file as separate processes, with a store and
// backend servers as stand-ins in the process of the script. All addresses are loopback addresses.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as openRequest } from "node:http";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export const repository = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

const readyTimeoutMillis = 20_000;

/** Instances that run; none outlives the script. */
const running = new Set();
process.on("exit", () => running.forEach(child => child.kill("SIGKILL")));
["SIGINT", "SIGTERM"].forEach(signal => process.on(signal, () => process.exit(2)));
// A fault of the script itself is no broken rule.
process.on("uncaughtException", error => {
    process.stderr.write(`could not run: ${error.stack ?? error}\n`);
    process.exit(2);
});

function listen(server, host) {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, () => resolve(server.address().port));
    });
}

/** Finds different ports that nothing on the machine listens on. */
async function findFreePorts(count) {
    const servers = Array.from({ length: count }, () => createServer());
    const found = await Promise.all(servers.map(server => listen(server, "0.0.0.0")));
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return found;
}

const [callers, readiness, directory, firstPeer] = await findFreePorts(4);

/** Ports of all instances, which differ in their addresses. */
export const ports = { callers, readiness, directory, firstPeer };

function readBody(incoming) {
    return new Promise((resolve, reject) => {
        const chunks = [];
        incoming.on("data", chunk => chunks.push(chunk));
        incoming.on("end", () => resolve(Buffer.concat(chunks)));
        incoming.on("error", reject);
    });
}

/** Starts the platform's store with the calls that the project uses; it serves every call soundly. */
export async function startStore() {
    let version = 0;
    const rows = new Map();
    const waiting = new Set();
    const put = (table, key, value) => {
        version += 1;
        rows.set(`${table}/${key}`, { table, part: "", key, value: value.toString("base64"), ver: version });
        waiting.forEach(wake => wake());
    };
    const server = createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
        const url = new URL(incoming.url, "http://store");
        const table = url.searchParams.get("table");
        const answer = (status, body) => {
            const bytes = Buffer.from(JSON.stringify({ ...body, ver: version, now: `${Math.round(performance.now())}ms` }));
            response.writeHead(status, { "Content-Type": "application/json", "Content-Length": bytes.length });
            response.end(bytes);
        };
        const changedSince = after => [...rows.values()].filter(row => row.table === table && row.ver > after);
        if (url.pathname === "/v1/rows-get") {
            answer(200, { rows: changedSince(0).sort((left, right) => left.key < right.key ? -1 : 1), morePages: false });
        }
        else if (url.pathname === "/v1/rows-feed") {
            const after = Number(url.searchParams.get("after"));
            const end = () => {
                clearTimeout(timer);
                waiting.delete(wake);
                answer(200, { rows: changedSince(after).sort((left, right) => left.ver - right.ver) });
            };
            const wake = () => {
                if (changedSince(after).length > 0) {
                    end();
                }
            };
            const timer = setTimeout(end, Number(url.searchParams.get("waitMs")));
            waiting.add(wake);
            response.on("close", () => {
                clearTimeout(timer);
                waiting.delete(wake);
            });
            wake();
        }
        else if (url.pathname === "/v1/rows-tx") {
            readBody(incoming).then(body => {
                const { puts } = JSON.parse(body.toString("utf8"));
                puts.forEach(row => put(row.table, row.key, Buffer.from(row.value, "base64")));
                answer(200, {});
            }, () => response.destroy());
        }
        else {
            answer(404, {});
        }
    });
    const port = await listen(server, "127.0.0.1");
    return {
        port,
        put: (table, key, value) => put(table, key, Buffer.from(JSON.stringify(value))),
        close: () => {
            server.closeAllConnections();
            server.close();
        }
    };
}

/**
 * Starts a backend server that records each request that it begins to run and then calls `work` to answer it. Work that
 * is done after the connection has closed is dropped, as most backend servers of the platform do.
 */
export async function startBackend(id, work) {
    const runs = [];
    const server = createServer({ keepAliveTimeout: 10_000, noDelay: true }, (incoming, response) => {
        readBody(incoming).then(body => {
            if (incoming.headers["x-endivebridge-target-instance"] !== id) {
                response.writeHead(421, { "X-Endivebridge-Instance-Id": id, "Content-Length": 0 });
                response.end();
                return;
            }
            const requestId = incoming.headers["x-endivebridge-request-id"];
            const run = { id: requestId, method: incoming.method, path: incoming.url, bytes: body.length };
            runs.push(run);
            work(run, response, {
                "X-Endivebridge-Request-Id": requestId,
                "X-Endivebridge-Response-Seal": `seal.${requestId}`,
                "X-Endivebridge-Server-Load": "1,0,4"
            });
        }, () => undefined);
    });
    const port = await listen(server, "127.0.0.1");
    return {
        id,
        port,
        runs,
        close: () => {
            server.closeAllConnections();
            server.close();
        }
    };
}

/** Returns an operator's configuration with an idempotent and a non-idempotent route of one service. */
export function configuration(version, changes = {}) {
    const route = {
        host: "desk.example",
        timeout: "5000ms",
        targetLatency: "1000ms",
        priority: 1,
        service: "desk",
        maxAttempts: 2,
        sticky: false,
        homeRegions: []
    };
    return {
        version: version.toString(16).padStart(8, "0"),
        routes: {
            search: { ...route, prefix: "/search/", routeKind: "idempotent", ...changes },
            checkout: { ...route, prefix: "/checkout/", routeKind: "non_idempotent", ...changes }
        },
        services: {
            desk: { healthPath: "/health", maxConns: 390, protocol: "h1", tls: false, coldStart: "3s", coldPerS: 16 }
        },
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeout: "3000ms", idleTimeout: "15000ms" }
    };
}

function settingsText(name, host, storePort) {
    return [
        `self.nodeName=${name}`,
        "self.role=entry",
        "self.machineClass=edge",
        "self.serves=edge,directory",
        `self.ip=${host}`,
        "self.zone=fraser-a",
        "self.region=fraser",
        "self.bootstrap=true",
        "self.limits.cpuShare=0.54",
        "self.limits.cores=1",
        "self.limits.memoryMb=350",
        "self.limits.maxFds=4100",
        "self.limits.linkMbps=1000.0",
        `network.listen.front=${host}:${ports.callers}`,
        `network.listen.readyAddr=${host}:${ports.readiness}`,
        `network.listen.directory=${host}:${ports.directory}`,
        `network.portRange=${ports.firstPeer},${ports.firstPeer + 15}`,
        "network.zones.fraser-a=fraser",
        "network.zones.fraser-b=fraser",
        "network.zones.kootenay-a=kootenay",
        "platform.heartbeat=1500ms",
        `platform.platform.address=127.0.0.1:${storePort}`,
        "terms.bounds.contact=4000ms",
        "terms.bounds.drain=2500ms",
        "terms.bounds.grace=6s",
        "terms.bounds.configApply=2500ms",
        "terms.bounds.retryRatio=0.2",
        "terms.bounds.retryWindow=10s",
        "terms.bounds.retrySlack=62",
        "terms.bounds.evacuate=5000ms",
        "terms.bounds.ttl_max=5s",
        "terms.bounds.maxShift=0.15"
    ].join("\n");
}

function isReady(host) {
    return new Promise(resolve => {
        const request = openRequest({ host, port: ports.readiness, path: "/v1/ready", agent: false }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.on("error", () => resolve(false));
        request.end();
    });
}

/** The command of the deploy file that starts the program on every machine. */
function deployCommand() {
    const deployFile = readFileSync(join(repository, "deploy", "system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
}

/** Address of one instance, different for each run of a script. */
export function instanceHost(index) {
    return `127.${10 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}.${index + 2}`;
}

/** Starts an instance and waits until it is ready. */
export async function startInstance(store, index) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const host = instanceHost(index);
    const settingsPath = join(folder, "node.conf");
    writeFileSync(settingsPath, settingsText(`entry-${index}`, host, store.port));
    const [program, ...programArguments] = deployCommand();
    const child = spawn(program, programArguments, {
        cwd: repository,
        env: { PATH: process.env.PATH, HOME: folder, ENDIVEBRIDGE_NODE_FILE: settingsPath },
        stdio: ["ignore", "pipe", "pipe"]
    });
    let exit;
    let output = "";
    running.add(child);
    const exited = new Promise(resolve => child.on("exit", (code, signal) => {
        running.delete(child);
        resolve(exit = { code, signal });
    }));
    [child.stdout, child.stderr].forEach(stream => stream.on("data", chunk => output += chunk.toString("utf8")));
    const instance = {
        host,
        child,
        exited,
        exit: () => exit,
        output: () => output,
        kill: async () => {
            if (exit === undefined) {
                child.kill("SIGKILL");
                await exited;
            }
            rmSync(folder, { recursive: true, force: true });
        }
    };
    const endMillis = performance.now() + readyTimeoutMillis;
    while (!await isReady(host)) {
        if (exit !== undefined || performance.now() > endMillis) {
            await instance.kill();
            throw new Error(`the instance did not become ready: ${output}`);
        }
        await sleep(50);
    }
    return instance;
}

/** Starts the store and registers the configuration and the backend servers. */
export async function startPlatform({ backends, configuration: document }) {
    const store = await startStore();
    store.put("op", "config", document);
    backends.forEach(({ id, port, service = "desk" }) =>
        store.put("servers", id, {
            address: `127.0.0.1:${port}`,
            born: Date.now() - 60_000,
            info: { service, version: "v1", zone: "fraser-a", slots: 4 },
            status: { state: "ready", seq: 4, coldLeft: "0ms" }
        })
    );
    return store;
}

/** Starts the store, the given backend servers and one instance, and waits until the instance is ready. */
export async function startDeployment({ backends, configuration: document }) {
    const store = await startPlatform({ backends, configuration: document });
    const instance = await startInstance(store, 0);
    return {
        ...instance,
        close: async () => {
            await instance.kill();
            backends.forEach(backend => backend.close());
            store.close();
        }
    };
}

/** Bytes of a request's head and body. */
export function requestBytes({ method = "GET", path, id, deadlineMillis, body }) {
    const lines = [
        `${method} ${path} HTTP/1.1`,
        "Host: desk.example",
        `X-Endivebridge-Request-Id: ${id}`,
        `X-Endivebridge-Deadline-Ms: ${deadlineMillis}`,
        ...body === undefined ? [] : [`Content-Length: ${body.length}`]
    ];
    const head = Buffer.from(`${lines.join("\r\n")}\r\n\r\n`);
    return body === undefined ? head : Buffer.concat([head, body]);
}

/** Opens a connection to an instance and records how it ends: by `end`, by `reset`, or not yet. */
export function openConnection(host) {
    const chunks = [];
    const socket = connect({ host, port: ports.callers });
    const connection = { socket, ended: undefined, bytes: () => Buffer.concat(chunks) };
    socket.on("data", chunk => chunks.push(chunk));
    socket.on("end", () => connection.ended ??= "end");
    socket.on("error", error => connection.ended ??= error.code);
    return connection;
}

/**
 * Splits the bytes of a connection into answers, as HTTP/1.1 frames them: by chunks, by a length, or by the end of the
 * connection. An answer is complete only if its framing says so.
 */
export function parseAnswers(bytes, ended) {
    const answers = [];
    let at = 0;
    while (at < bytes.length) {
        const headEnd = bytes.indexOf("\r\n\r\n", at);
        if (headEnd < 0) {
            answers.push({ status: undefined, isComplete: false, framing: "head", body: Buffer.alloc(0) });
            break;
        }
        const [statusLine, ...lines] = bytes.subarray(at, headEnd).toString("latin1").split("\r\n");
        const headers = Object.fromEntries(lines.map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        const answer = { status: Number(statusLine.split(" ")[1]), headers, isComplete: false, framing: "" };
        answers.push(answer);
        at = headEnd + 4;
        if (headers["transfer-encoding"] === "chunked") {
            answer.framing = "chunks";
            const pieces = [];
            for (;;) {
                const lineEnd = bytes.indexOf("\r\n", at);
                const length = lineEnd < 0 ? NaN : Number.parseInt(bytes.subarray(at, lineEnd).toString("latin1"), 16);
                if (Number.isNaN(length) || lineEnd + 2 + length + 2 > bytes.length) {
                    at = bytes.length;
                    break;
                }
                pieces.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + length));
                at = lineEnd + 2 + length + 2;
                if (length === 0) {
                    answer.isComplete = true;
                    break;
                }
            }
            answer.body = Buffer.concat(pieces);
        }
        else if (headers["content-length"] !== undefined) {
            answer.framing = "length";
            const length = Number(headers["content-length"]);
            answer.body = bytes.subarray(at, at + length);
            answer.isComplete = answer.body.length === length;
            at += length;
        }
        else {
            answer.framing = "connection end";
            answer.body = bytes.subarray(at);
            answer.isComplete = ended === "end";
            at = bytes.length;
        }
    }
    return answers;
}

/** Writes the record of a run and exits with the outcome of the check: 0 if the rule held, 1 if it was broken. */
export function finish(recordPath, lines, isBroken) {
    lines.push(isBroken ? "RESULT: rule broken" : "RESULT: rule held");
    writeFileSync(recordPath, `${lines.join("\n")}\n`);
    process.stdout.write(`${lines.at(-1)}\n`);
    process.exit(isBroken ? 1 : 0);
}

/** Runs a case; a failure of the case itself exits with 2. */
export function runCase(recordPath, body) {
    body().catch(error => {
        const text = `could not run: ${error.stack ?? error}`;
        writeFileSync(recordPath, `${text}\n`);
        process.stderr.write(`${text}\n`);
        process.exit(2);
    });
}
