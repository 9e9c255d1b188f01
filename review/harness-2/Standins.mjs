// Stand-ins of the platform's store and of backend servers, and the start of the project's program with the command of
// the deploy file. Everything runs on loopback addresses, free ports and the real clock.

import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export { sleep };

const repository = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const startedMillis = performance.now();

/** Milliseconds since the start of the case. */
export const elapsed = () => Math.round(performance.now() - startedMillis);

/** Collects the lines of record.txt. */
export function makeRecord(path) {
    const lines = [];
    return {
        add: (kind, fields) => lines.push(`${elapsed()} ${kind} ${JSON.stringify(fields)}`),
        write: () => writeFileSync(path, `${lines.join("\n")}\n`)
    };
}

function listen(server, host) {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, () => resolve(server.address().port));
    });
}

async function freePort(host) {
    const server = createTcpServer();
    const port = await listen(server, host);
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** Store in the platform's table form: linearizable, with one counter of versions and a complete history. */
export async function startStore() {
    let version = 0;
    const rows = new Map();
    const changes = [];
    const waiting = new Set();
    const apply = row => {
        changes.push(row);
        if (row.removed) {
            rows.delete(`${row.table}/${row.key}`);
        }
        else {
            rows.set(`${row.table}/${row.key}`, row);
        }
        [...waiting].forEach(wake => wake());
    };
    const server = createServer((request, response) => {
        const url = new URL(request.url, "http://store");
        const table = url.searchParams.get("table");
        const send = body => {
            const text = JSON.stringify({ ...body, ver: version, now: `${elapsed()}ms` });
            response.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
            response.end(text);
        };
        if (url.pathname === "/v1/rows-get") {
            const found = [...rows.values()].filter(row => row.table === table);
            send({ rows: found.sort((left, right) => left.key < right.key ? -1 : 1), morePages: false });
        }
        else if (url.pathname === "/v1/rows-feed") {
            const after = Number(url.searchParams.get("after"));
            const newer = () => changes.filter(row => row.table === table && row.ver > after);
            const finish = () => {
                clearTimeout(timer);
                waiting.delete(wake);
                send({ rows: newer() });
            };
            const wake = () => {
                if (newer().length > 0) {
                    finish();
                }
            };
            const timer = setTimeout(finish, Number(url.searchParams.get("waitMs")));
            waiting.add(wake);
            wake();
        }
        else if (url.pathname === "/v1/rows-tx") {
            let text = "";
            request.on("data", chunk => text += chunk);
            request.on("end", () => {
                version += 1;
                JSON.parse(text).puts.forEach(put => apply({ ...put, ver: version }));
                send({});
            });
        }
        else {
            response.writeHead(404).end();
        }
    });
    const port = await listen(server, "127.0.0.1");
    return {
        port,
        put: (table, key, value) => {
            version += 1;
            const encoded = Buffer.from(JSON.stringify(value)).toString("base64");
            apply({ table, part: "", key, value: encoded, ver: version });
        },
        remove: (table, key) => {
            version += 1;
            apply({ table, part: "", key, ver: version, removed: true });
        }
    };
}

/**
 * Backend server. `run` gets the request's id, its message and its response once the body is read; requests that name
 * another server are rejected.
 */
export async function startBackend(id, run) {
    const server = createServer((request, response) => {
        const requestId = request.headers["x-endivebridge-request-id"];
        const target = request.headers["x-endivebridge-target-instance"];
        request.resume();
        if (target !== undefined && target !== id) {
            response.writeHead(421, { "X-Endivebridge-Instance-Id": id, "Content-Length": 0 }).end();
            return;
        }
        request.on("end", () => run(requestId, request, response));
    });
    server.keepAliveTimeout = 10_000;
    return { id, port: await listen(server, "127.0.0.1"), close: () => server.close() };
}

/** Headers of a backend server's own answer. */
export function answerHeaders(requestId, server, more = {}) {
    return {
        "X-Endivebridge-Request-Id": requestId,
        "X-Endivebridge-Response-Seal": `${server}.${requestId}`,
        "X-Endivebridge-Server-Load": "1,0,4,100",
        ...more
    };
}

/** Row of a ready backend server. */
export function serverRow({ port }, slots) {
    return {
        address: `127.0.0.1:${port}`,
        born: 1_700_000_000_000,
        info: { service: "desk", version: "v1", zone: "addis-a", slots },
        status: { state: "ready", seq: 1, coldLeft: "0ms" }
    };
}

/** Configuration with one idempotent route, `/search/`, and one that is not, `/order/`. */
export function configuration(version, timeout, targetLatency) {
    const route = {
        host: "desk.example",
        timeout,
        targetLatency,
        priority: 1,
        service: "desk",
        maxAttempts: 2,
        sticky: true,
        homeRegions: []
    };
    return {
        version: version.toString(16).padStart(8, "0"),
        routes: {
            search: { ...route, prefix: "/search/", routeKind: "idempotent" },
            order: { ...route, prefix: "/order/", routeKind: "non_idempotent" }
        },
        services: {
            desk: { healthPath: "/health", maxConns: 390, protocol: "h1", tls: false, coldStart: "3s", coldPerS: 11 }
        },
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeout: "3000ms", idleTimeout: "15000ms" }
    };
}

function deployCommand() {
    const deploy = readFileSync(join(repository, "deploy", "system.toml"), "utf8");
    return /^run = "([^"]+)"/m.exec(deploy)[1].split(" ");
}

/** Starts one instance with the bounds of the small sites; resolves once it is ready. */
export async function startInstance(store, index, { waitsForReady = true } = {}) {
    const host = `127.${1 + process.pid % 250}.${1 + Math.floor(process.pid / 250) % 250}.${2 + index}`;
    const [front, ready, directory, peer] = [
        await freePort(host),
        await freePort(host),
        await freePort(host),
        await freePort(host)
    ];
    const folder = mkdtempSync(join(tmpdir(), "endivebridge-review-"));
    const path = join(folder, "node.conf");
    writeFileSync(path, [
        `self.nodeName=edge-addis-a-${index + 1}`,
        "self.role=entry",
        `self.ip=${host}`,
        "self.zone=addis-a",
        "self.region=addis",
        "self.limits.memoryMb=350",
        `network.listen.front=${host}:${front}`,
        `network.listen.readyAddr=${host}:${ready}`,
        `network.listen.directory=${host}:${directory}`,
        `network.portRange=${peer},${peer + 15}`,
        "network.zones.addis-a=addis",
        "network.zones.addis-b=addis",
        `platform.platform.address=127.0.0.1:${store.port}`,
        "terms.bounds.contact=4000ms",
        "terms.bounds.drain=2500ms",
        "terms.bounds.grace=6s",
        "terms.bounds.configApply=2500ms",
        "terms.bounds.evacuate=5000ms",
        "terms.bounds.retryRatio=0.2",
        "terms.bounds.retryWindow=10s",
        "terms.bounds.retrySlack=64",
        "terms.bounds.ttl_max=5s",
        "terms.bounds.maxShift=0.15"
    ].join("\n"));
    const [program, ...parameters] = deployCommand();
    const child = spawn(program, parameters, {
        cwd: repository,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, ENDIVEBRIDGE_NODE_FILE: path },
        stdio: ["ignore", "pipe", "pipe"]
    });
    let output = "";
    child.stdout.on("data", chunk => output += chunk);
    child.stderr.on("data", chunk => output += chunk);
    const ended = new Promise(resolve => child.on("exit", (code, signal) => resolve({ code, signal })));
    const instance = {
        host,
        front,
        child,
        ended,
        output: () => output,
        isReady: () =>
            fetch(`http://${host}:${ready}/v1/ready`).then(async response => {
                await response.arrayBuffer();
                return response.status === 200;
            }, () => false),
        close: async () => {
            if (child.exitCode === null && child.signalCode === null) {
                child.kill("SIGKILL");
                await ended;
            }
            rmSync(folder, { recursive: true, force: true });
        }
    };
    const endMillis = performance.now() + 15_000;
    while (waitsForReady && !await instance.isReady()) {
        if (performance.now() > endMillis) {
            await instance.close();
            throw new Error(`instance not ready: ${output.slice(-1_000)}`);
        }
        await sleep(50);
    }
    return instance;
}

/** Runs a case: `play` resolves with whether the rule held. Ends the process with 0, 1 or, after an error, 2. */
export async function runCase(path, play) {
    const record = makeRecord(path);
    const closers = [];
    let code = 2;
    try {
        code = await play(record, closer => closers.push(closer)) ? 0 : 1;
    }
    catch (error) {
        record.add("error", { error: String(error) });
        process.stderr.write(`${error.stack}\n`);
    }
    for (const close of closers) {
        await close();
    }
    record.write();
    process.exit(code);
}
