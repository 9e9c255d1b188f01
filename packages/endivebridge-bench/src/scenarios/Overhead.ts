import { httpExchange } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import { build } from "hdr-histogram-js";
import { type ChildProcess, fork } from "node:child_process";
import { Agent } from "node:http";
import { echoDeployment } from "../Deployment";
import { programPath } from "../Programs";
import { claimAtLeast, claimAtMost, type PolicyResult, type Scenario } from "../ScenarioReport";
import { startTestbed, type Testbed } from "../Testbed";

const serviceMillis = 2;
const requestsPerSecond = 1_000;
const slots = 64;
const warmUpShare = 0.8;

interface RequestPath {
    readonly policy: string;
    readonly url: string;
    readonly cpuMicros: () => Promise<number>;
}

interface PathMeasurement {
    readonly p50Millis: number;
    readonly p99Millis: number;
    readonly failed: number;
    readonly requests: number;
}

/** Sends reads at a constant rate over keep-alive connections and records their latency. */
async function sendReads(url: string, seconds: number): Promise<PathMeasurement> {
    const agent = new Agent({ keepAlive: true, maxSockets: slots });
    const histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        numberOfSignificantValueDigits: 3
    });
    const pending = new Set<Promise<void>>();
    let failed = 0;
    const sendRead = async () => {
        const startMillis = performance.now();
        const result = await Effect.runPromise(
            Effect.result(httpExchange({ url: new URL(url), method: "GET", agent, timeoutMillis: 5_000 }))
        );
        histogram.recordValue(Math.max(1, Math.round((performance.now() - startMillis) * 1_000)));
        failed += Result.isSuccess(result) && result.success.status === 200 ? 0 : 1;
    };
    const requestCount = Math.round(seconds * requestsPerSecond);
    const startMillis = performance.now();
    for (let index = 0; index < requestCount; index += 1) {
        const waitMillis = startMillis + (index * 1_000) / requestsPerSecond - performance.now();
        if (waitMillis > 0) {
            await new Promise(resolve => setTimeout(resolve, waitMillis));
        }
        const sent = sendRead();
        pending.add(sent);
        void sent.finally(() => pending.delete(sent));
    }
    await Promise.all(pending);
    agent.destroy();
    return {
        p50Millis: histogram.getValueAtPercentile(50) / 1_000,
        p99Millis: histogram.getValueAtPercentile(99) / 1_000,
        failed,
        requests: requestCount
    };
}

/** Sends a message to a child process, unless it is undefined, and resolves with the next message from the child. */
function exchangeMessage<Reply>(child: ChildProcess, message: string | undefined): Promise<Reply> {
    return new Promise(resolve => {
        child.once("message", reply => resolve(reply as Reply));
        if (message !== undefined) {
            child.send(message);
        }
    });
}

async function measurePath(
    requestPath: RequestPath,
    seconds: number
): Promise<PolicyResult & PathMeasurement & { requestsPerCpuSecond: number; }> {
    await sendReads(requestPath.url, seconds * warmUpShare);
    const before = await requestPath.cpuMicros();
    const measured = await sendReads(requestPath.url, seconds);
    const cpuMicrosUsed = await requestPath.cpuMicros() - before;
    const requestsPerCpuSecond = Math.round(measured.requests / (cpuMicrosUsed / 1_000_000));
    return { policy: requestPath.policy, ...measured, requestsPerCpuSecond };
}

async function makeRequestPaths(testbed: Testbed, passThrough: ChildProcess): Promise<readonly RequestPath[]> {
    const { port } = await exchangeMessage<{ readonly port: number; }>(passThrough, undefined);
    const instance = testbed.instances[0]!;
    const readPath = "/echo?bytes=1000";
    return [
        {
            policy: "direct",
            url: `http://127.0.0.1:${testbed.backends[0]!.standIn.port}${readPath}`,
            cpuMicros: async () => 0
        },
        {
            policy: "pass-through",
            url: `http://127.0.0.1:${port}${readPath}`,
            cpuMicros: async () =>
                (await exchangeMessage<{ readonly cpuMicros: number; }>(passThrough, "cpu")).cpuMicros
        },
        {
            policy: "endivebridge",
            url: `http://${instance.callerAddress}/echo${readPath}`,
            cpuMicros: async () =>
                (await testbed.queryOperatorApi(instance, "operator/instance") as { readonly cpuMicros: number; })
                    .cpuMicros
        }
    ];
}

/** Compares the same load sent directly to a server, through a plain pass-through proxy and through `endivebridged`. */
export const overhead: Scenario = async options => {
    const testbed = await startTestbed({ deployment: echoDeployment(slots), seed: options.seed, serviceMillis });
    const target = `127.0.0.1:${testbed.backends[0]!.standIn.port}`;
    const passThrough = fork(programPath("endivebench"), ["pass-through-process", target]);
    try {
        const requestPaths = await makeRequestPaths(testbed, passThrough);
        const results = [];
        for (const requestPath of requestPaths) {
            results.push(await measurePath(requestPath, options.seconds / 6));
        }
        const [direct, passThroughResult, endivebridgeResult] = results as [
            typeof results[0],
            typeof results[0],
            typeof results[0]
        ];
        return {
            results,
            claims: [
                claimAtMost("added p50 against direct, ms", endivebridgeResult!.p50Millis - direct!.p50Millis, 1),
                claimAtLeast(
                    "requests per CPU second against pass-through",
                    endivebridgeResult!.requestsPerCpuSecond / passThroughResult!.requestsPerCpuSecond,
                    0.6
                ),
                claimAtMost("failed", endivebridgeResult!.failed, 0)
            ]
        };
    }
    finally {
        passThrough.disconnect();
        await testbed.close();
    }
};
