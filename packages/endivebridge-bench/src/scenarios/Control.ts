import { type Deployment, stacklight } from "../Deployment";
import { atMost, type PolicyResult, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import type { World } from "../World";
import { usualServiceMillis, wait, withWorld } from "./Common";

const sizes = [1, 2, 4];
const load = 0.3;
const bytesPerMegabyte = 1_048_576;

interface Usage {
    readonly cpuMicros: number;
    readonly residentBytes: number;
}

interface Sample {
    readonly atMillis: number;
    readonly cpuMicros: readonly number[];
    readonly residentBytes: readonly number[];
    readonly controlBytes: number;
    readonly platformReads: number;
}

async function takeSample(world: World): Promise<Sample> {
    const usages = await Promise.all(
        world.instances.map(async each => await world.askOperator(each, "operator/instance") as Usage)
    );
    const links = [...world.peerLinks.values(), ...world.platformLinks.values()];
    return {
        atMillis: performance.now(),
        cpuMicros: usages.map(usage => usage.cpuMicros),
        residentBytes: usages.map(usage => usage.residentBytes),
        controlBytes: links.reduce((sum, link) => sum + link.bytes(), 0),
        platformReads: world.platform.record().reads
    };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function compare(policy: string, instances: number, before: Sample, after: Sample): PolicyResult {
    const seconds = (after.atMillis - before.atMillis) / 1_000;
    const spentMicros = after.cpuMicros.map((micros, index) => micros - before.cpuMicros[index]!);
    return {
        policy,
        instances,
        cpuShare: mean(spentMicros) / (seconds * 1_000_000),
        residentMegabytes: mean(after.residentBytes) / bytesPerMegabyte,
        controlBytesPerSecond: (after.controlBytes - before.controlBytes) / seconds / instances,
        platformReadsPerSecond: (after.platformReads - before.platformReads) / seconds / instances
    };
}

async function measureSize(
    instancesPerDomain: number,
    seed: number,
    seconds: number
): Promise<readonly PolicyResult[]> {
    const deployment: Deployment = { ...stacklight, instancesPerDomain };
    let results: readonly PolicyResult[] = [];
    await withWorld({ deployment, seed, serviceMillis: usualServiceMillis, linkSiblings: true }, async world => {
        const count = world.instances.length;
        await wait(3_000);
        const idleStart = await takeSample(world);
        await wait(seconds * 400);
        const idleEnd = await takeSample(world);
        const streams = usualStreams(stacklight, { load, serviceMillis: usualServiceMillis, deadlineMillis: 4_000 });
        await world.runLoad(streams, { seconds: seconds * 0.6 });
        const loadEnd = await takeSample(world);
        results = [
            compare(`idle ${count}`, count, idleStart, idleEnd),
            compare(`load ${count}`, count, idleEnd, loadEnd)
        ];
        return { results, claims: [] };
    });
    return results;
}

/** Cost of control for each instance at three sizes, idle and under load. */
export const control: Scenario = async options => {
    const results: PolicyResult[] = [];
    for (const size of sizes) {
        results.push(...await measureSize(size, options.seed, options.seconds / sizes.length));
    }
    const largest = results.filter(result => result.policy.startsWith("idle")).at(-1)!;
    return {
        results,
        claims: [
            atMost("idle share of a core at 24 instances", Number(largest.cpuShare), 0.026),
            atMost("resident MB at 24 instances", Number(largest.residentMegabytes), 128),
            atMost("control bytes a second at 24 instances", Number(largest.controlBytesPerSecond), 3_000)
        ]
    };
};
