import { connect, createServer } from "node:net";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
    configuration,
    finish,
    openConnection,
    parseAnswers,
    requestBytes,
    runCase,
    startBackend,
    startInstance,
    startPlatform
} from "../harness/Deployment.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const recordPath = join(dirname(fileURLToPath(import.meta.url)), "record.txt");

const contactMillis = 4_000;
const configApplyMillis = 2_500;
/** Tolerance for the clock of the script, in favour of the instances. */
const marginMillis = 100;
const instanceCount = 3;
const requestIntervalMillis = 50;
const deadlineMillis = 2_000;
/** The open connections to the store go silent this long after the second version, and the third version follows. */
const silenceAfterVersionMillis = 800;
const versionAfterSilenceMillis = 1_000;
const judgedMillis = 10_000;

/** Starts a proxy whose open connections can go silent for good, while new ones work. */
async function startProxy(targetPort) {
    const pairs = new Set();
    const server = createServer(socket => {
        const target = connect({ host: "127.0.0.1", port: targetPort });
        const pair = { isSilent: false };
        pairs.add(pair);
        for (const [from, to] of [[socket, target], [target, socket]]) {
            from.on("data", chunk => {
                if (!pair.isSilent) {
                    to.write(chunk);
                }
            });
            from.on("end", () => {
                if (!pair.isSilent) {
                    to.end();
                }
            });
            from.on("error", () => undefined);
            from.on("close", () => {
                pairs.delete(pair);
                to.destroy();
            });
        }
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        port: server.address().port,
        silenceOpenConnections: () => {
            pairs.forEach(pair => pair.isSilent = true);
            return pairs.size;
        },
        close: () => server.close()
    };
}

runCase(recordPath, async () => {
    const lines = [];
    const ranBy = new Map();
    const startBackends = (service, from) =>
        Promise.all([0, 1, 2].map(index =>
            startBackend(`i-${from + index}`, (run, response, headers) => {
                ranBy.set(run.id, service);
                setTimeout(() => {
                    response.writeHead(200, { ...headers, "Content-Length": service.length });
                    response.end(service);
                }, 20);
            }).then(backend => Object.assign(backend, { service }))
        ));
    const backends = [...await startBackends("desk", 0), ...await startBackends("archive", 3)];
    const version = (number, service) => {
        const document = configuration(number, { service });
        return { ...document, services: { ...document.services, archive: document.services.desk } };
    };
    const store = await startPlatform({ backends, configuration: version(1, "desk") });
    const proxy = await startProxy(store.port);
    const instances = [];
    for (let index = 0; index < instanceCount; index += 1) {
        instances.push(await startInstance({ port: proxy.port }, index));
    }
    await sleep(4_000);

    // The second version changes no service; it is read by all instances.
    store.put("op", "config", version(2, "desk"));
    await sleep(silenceAfterVersionMillis);
    const silentAtMillis = performance.now();
    const since = () => Math.round(performance.now() - silentAtMillis);
    if (hasTrouble) {
        lines.push(`${proxy.silenceOpenConnections()} open connections to the store go silent; new ones work`);
    }
    await sleep(versionAfterSilenceMillis);
    store.put("op", "config", version(3, "archive"));
    const acknowledgedMillis = since();
    lines.push(`version 3 moves the routes to "archive"; acknowledged ${acknowledgedMillis} ms after the silence`);

    const requests = [];
    for (let count = 0; since() < judgedMillis; count += 1) {
        const index = count % instanceCount;
        const id = `r-${count}`;
        const connection = openConnection(instances[index].host);
        requests.push({ id, index, sentMillis: since(), connection });
        connection.socket.write(requestBytes({ path: "/search/title", id, deadlineMillis }));
        await sleep(requestIntervalMillis);
    }
    await sleep(deadlineMillis);

    let stale = 0;
    const latestOld = new Map();
    for (const { id, index, sentMillis, connection } of requests) {
        const answer = parseAnswers(connection.bytes(), connection.ended)[0];
        connection.socket.destroy();
        const isOld = ranBy.get(id) === "desk";
        const isInTouch = !hasTrouble || sentMillis > contactMillis + marginMillis;
        const isLate = sentMillis > acknowledgedMillis + configApplyMillis + marginMillis;
        const isStale = isOld && isInTouch && isLate;
        stale += isStale ? 1 : 0;
        if (isOld) {
            latestOld.set(index, sentMillis);
        }
        lines.push(`${id}: sent to entry-${index} at ${sentMillis} ms, status ${answer?.status}, run by `
            + `${ranBy.get(id)}${isStale ? ": run by the old service" : ""}`);
    }
    latestOld.forEach((millis, index) =>
        lines.push(`entry-${index}: the last request that the old service ran was sent at ${millis} ms`)
    );
    lines.push(`${stale} requests were run by the old service, sent later than configApply after the acknowledgement by `
        + "an instance in touch");
    await Promise.all(instances.map(instance => instance.kill()));
    backends.forEach(backend => backend.close());
    proxy.close();
    store.close();
    finish(recordPath, lines, stale > 0);
});
