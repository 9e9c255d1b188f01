import { type ClientBlock, makeClientBlocks, orderInstances } from "@endivebridge/core";
import { httpExchange, range } from "@endivebridge/shared";
import { Effect } from "effect";
import { Agent } from "node:http";
import xxhash from "xxhash-wasm";
import { echoDeployment } from "../Deployment";
import { makeRandom } from "../Random";
import { claimAtLeast, claimAtMost, type Scenario } from "../ScenarioReport";
import type { Testbed } from "../Testbed";
import { wait, withTestbed } from "./ScenarioSupport";

const clientBlockCount = 310_000;
const siteCount = 180;
const connectionCount = 32;
const slots = 4;
const decisions = 500_000;
const bytesPerMegabyte = 1_048_576;

/** Generates blocks of /20 to /24 spread over most of the IPv4 address space, each assigned to a random site. */
function generateClientBlocks(random: () => number): readonly ClientBlock[] {
    const blocks = new Map<string, ClientBlock>();
    while (blocks.size < clientBlockCount) {
        const prefixLength = 20 + Math.floor(random() * 5);
        const addressesPerBlock = 2 ** (32 - prefixLength);
        const start = Math.floor((random() * 0xdfff_ffff) / addressesPerBlock) * addressesPerBlock;
        const firstAddressText = [24, 16, 8, 0].map(shift => Math.floor(start / 2 ** shift) % 256).join(".");
        const block = `${firstAddressText}/${prefixLength}`;
        blocks.set(block, { block, region: `site-${Math.floor(random() * siteCount)}` });
    }
    return [...blocks.values()];
}

interface InProcessResult {
    readonly regionsPerSecond: number;
    readonly decisionsPerSecond: number;
    readonly changeMillis: number;
    readonly buildMillis: number;
}

async function measureInProcess(blocks: readonly ClientBlock[], random: () => number): Promise<InProcessResult> {
    const { h32 } = await xxhash();
    const hash = (text: string) => h32(text) / 4_294_967_296;
    const buildStartMillis = performance.now();
    const table = makeClientBlocks(blocks);
    const buildMillis = performance.now() - buildStartMillis;
    const addresses = range(10_000).map(() => range(4).map(() => Math.floor(random() * 224)).join("."));
    const candidates = range(12).map(index => ({
        instance: `instance-${index}`,
        failureDomain: "domain",
        region: `site-${index % 3}`,
        address: "127.0.0.1:1",
        leaving: false,
        isReachable: true,
        usableSlots: 10,
        load: 1
    }));
    const regionStartMillis = performance.now();
    for (let index = 0; index < decisions; index += 1) {
        table.regionOf(addresses[index % addresses.length]!);
    }
    const regionSeconds = (performance.now() - regionStartMillis) / 1_000;
    const decideStartMillis = performance.now();
    for (let index = 0; index < decisions / 5; index += 1) {
        const client = addresses[index % addresses.length]!;
        const homeRegion = table.regionOf(client) ?? "site-0";
        orderInstances(candidates, { client, service: "echo", homeRegion, mostInstances: 4 }, hash);
    }
    const decideSeconds = (performance.now() - decideStartMillis) / 1_000;
    const changeStartMillis = performance.now();
    table.put([{ block: blocks[0]!.block, region: "site-1" }, { block: "1.2.3.0/25", region: "site-2" }]);
    return {
        regionsPerSecond: decisions / regionSeconds,
        decisionsPerSecond: decisions / 5 / decideSeconds,
        changeMillis: performance.now() - changeStartMillis,
        buildMillis
    };
}

async function sendLookups(address: string, durationMillis: number): Promise<number> {
    const agent = new Agent({ keepAlive: true, maxSockets: connectionCount });
    const untilMillis = performance.now() + durationMillis;
    let answered = 0;
    await Promise.all(
        range(connectionCount).map(async number => {
            for (let index = 0; performance.now() < untilMillis; index += 1) {
                const client = `10.${number}.${index % 250}.1`;
                const url = new URL(`http://${address}/.endivebridge/lookup?service=echo&client=${client}`);
                const answer = await Effect.runPromise(
                    httpExchange({ url, method: "GET", agent, timeoutMillis: 5_000 })
                );
                answered += answer.status === 200 ? 1 : 0;
            }
        })
    );
    agent.destroy();
    return answered;
}

async function measureHttpLookups(testbed: Testbed, seconds: number) {
    const instance = testbed.instances[0]!;
    const readUsage = async () =>
        await testbed.queryOperatorApi(instance, "operator/instance") as {
            readonly cpuMicros: number;
            readonly residentBytes: number;
        };
    await sendLookups(instance.callerAddress, 3_000);
    const before = await readUsage();
    const answered = await sendLookups(instance.callerAddress, seconds * 1_000);
    const after = await readUsage();
    return {
        lookupsPerCpuSecond: answered / ((after.cpuMicros - before.cpuMicros) / 1_000_000),
        residentMegabytes: after.residentBytes / bytesPerMegabyte
    };
}

/** Measures look-ups at the required size of 310,000 client blocks and 180 sites, in process and over HTTP. */
export const lookups: Scenario = async options => {
    const random = makeRandom(options.seed);
    const blocks = generateClientBlocks(random);
    const inProcess = await measureInProcess(blocks, random);
    return withTestbed({
        deployment: echoDeployment(slots),
        seed: options.seed,
        serviceMillis: 10,
        configure: configuration => {
            range(siteCount).forEach(site =>
                configuration.regions[`site-${site}`] = { failureDomains: [`domain-${site}`] }
            );
            configuration.clientBlocks = [...configuration.clientBlocks, ...blocks];
        }
    }, async testbed => {
        await wait(1_000);
        const http = await measureHttpLookups(testbed, options.seconds / 3);
        return {
            results: [{ policy: "in process", ...inProcess }, { policy: "HTTP", ...http }],
            claims: [
                claimAtLeast("HTTP look-ups a CPU second", http.lookupsPerCpuSecond, 10_000),
                claimAtLeast("decisions a second in process", inProcess.decisionsPerSecond, 1_000_000),
                claimAtMost("resident MB", http.residentMegabytes, 128),
                claimAtMost("a one-block change in the table, ms", inProcess.changeMillis, 10)
            ]
        };
    });
};
