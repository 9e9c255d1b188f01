import { httpExchange } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import { build } from "hdr-histogram-js";
import { type ChildProcess, fork } from "node:child_process";
import { Agent } from "node:http";
import { echoDeployment } from "../Deployment";
import { programPath } from "../Programs";
import { atLeast, atMost, type PolicyResult, type Scenario } from "../ScenarioReport";
import { startWorld, type World } from "../World";

const serviceMillis = 2;
const requestsPerSecond = 1_000;
const slots = 64;
const warmUpShare = 0.8;

interface Way {
    readonly policy: string;
    readonly url: string;
    readonly cpuMicros: () => Promise<number>;
}

interface Measured {
    readonly p50Millis: number;
    readonly p99Millis: number;
    readonly failed: number;
    readonly requests: number;
}

/** Sends reads at a steady rate over kept connections. */
async function drive(url: string, seconds: number): Promise<Measured> {
    const agent = new Agent({ keepAlive: true, maxSockets: slots });
    const histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        numberOfSignificantValueDigits: 3
    });
    const pending = new Set<Promise<void>>();
    let failed = 0;
    const sendOne = async () => {
        const startMillis = performance.now();
        const result = await Effect.runPromise(
            Effect.result(httpExchange({ url: new URL(url), method: "GET", agent, timeoutMillis: 5_000 }))
        );
        histogram.recordValue(Math.max(1, Math.round((performance.now() - startMillis) * 1_000)));
        failed += Result.isSuccess(result) && result.success.status === 200 ? 0 : 1;
    };
    const total = Math.round(seconds * requestsPerSecond);
    const startMillis = performance.now();
    for (let index = 0; index < total; index += 1) {
        const waitMillis = startMillis + (index * 1_000) / requestsPerSecond - performance.now();
        if (waitMillis > 0) {
            await new Promise(resolve => setTimeout(resolve, waitMillis));
        }
        const sent = sendOne();
        pending.add(sent);
        void sent.finally(() => pending.delete(sent));
    }
    await Promise.all(pending);
    agent.destroy();
    return {
        p50Millis: histogram.getValueAtPercentile(50) / 1_000,
        p99Millis: histogram.getValueAtPercentile(99) / 1_000,
        failed,
        requests: total
    };
}

function ask<Reply>(child: ChildProcess, message: string | undefined): Promise<Reply> {
    return new Promise(resolve => {
        child.once("message", reply => resolve(reply as Reply));
        if (message !== undefined) {
            child.send(message);
        }
    });
}

async function measureWay(
    way: Way,
    seconds: number
): Promise<PolicyResult & Measured & { requestsPerCpuSecond: number; }> {
    await drive(way.url, seconds * warmUpShare);
    const before = await way.cpuMicros();
    const measured = await drive(way.url, seconds);
    const spentMicros = await way.cpuMicros() - before;
    const requestsPerCpuSecond = Math.round(measured.requests / (spentMicros / 1_000_000));
    return { policy: way.policy, ...measured, requestsPerCpuSecond };
}

async function makeWays(world: World, passThrough: ChildProcess): Promise<readonly Way[]> {
    const { port } = await ask<{ readonly port: number; }>(passThrough, undefined);
    const instance = world.instances[0]!;
    const read = "/echo?bytes=1000";
    return [
        {
            policy: "direct",
            url: `http://127.0.0.1:${world.backends[0]!.standIn.port}${read}`,
            cpuMicros: async () => 0
        },
        {
            policy: "pass-through",
            url: `http://127.0.0.1:${port}${read}`,
            cpuMicros: async () => (await ask<{ readonly cpuMicros: number; }>(passThrough, "cpu")).cpuMicros
        },
        {
            policy: "endivebridge",
            url: `http://${instance.callerAddress}/echo${read}`,
            cpuMicros: async () =>
                (await world.askOperator(instance, "operator/instance") as { readonly cpuMicros: number; }).cpuMicros
        }
    ];
}

/** The same load direct, through a plain pass-through and through `endivebridged`. */
export const overhead: Scenario = async options => {
    const world = await startWorld({ deployment: echoDeployment(slots), seed: options.seed, serviceMillis });
    const target = `127.0.0.1:${world.backends[0]!.standIn.port}`;
    const passThrough = fork(programPath("endivebench"), ["pass-through-process", target]);
    try {
        const ways = await makeWays(world, passThrough);
        const results = [];
        for (const way of ways) {
            results.push(await measureWay(way, options.seconds / 6));
        }
        const [direct, plain, own] = results as [typeof results[0], typeof results[0], typeof results[0]];
        return {
            results,
            claims: [
                atMost("added p50 against direct, ms", own!.p50Millis - direct!.p50Millis, 1),
                atLeast(
                    "requests per CPU second against pass-through",
                    own!.requestsPerCpuSecond / plain!.requestsPerCpuSecond,
                    0.6
                ),
                atMost("failed", own!.failed, 0)
            ]
        };
    }
    finally {
        passThrough.disconnect();
        await world.close();
    }
};
