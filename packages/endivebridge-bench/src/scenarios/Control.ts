import { type Deployment, stacklight } from "../Deployment";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { claimAtMost, type PolicyResult, type Scenario } from "../ScenarioReport";
import type { Testbed } from "../Testbed";
import { defaultServiceMillis, wait, withTestbed } from "./ScenarioSupport";

const instancesPerDomainCounts = [1, 2, 4];
const load = 0.3;
const bytesPerMegabyte = 1_048_576;

interface ResourceUsage {
    readonly cpuMicros: number;
    readonly residentBytes: number;
}

interface ResourceSample {
    readonly atMillis: number;
    readonly cpuMicros: readonly number[];
    readonly residentBytes: readonly number[];
    readonly controlBytes: number;
    readonly platformReads: number;
}

async function sampleResources(testbed: Testbed): Promise<ResourceSample> {
    const usages = await Promise.all(
        testbed.instances.map(async each => await testbed.queryOperatorApi(each, "operator/instance") as ResourceUsage)
    );
    const links = [...testbed.peerLinks.values(), ...testbed.platformLinks.values()];
    return {
        atMillis: performance.now(),
        cpuMicros: usages.map(usage => usage.cpuMicros),
        residentBytes: usages.map(usage => usage.residentBytes),
        controlBytes: links.reduce((sum, link) => sum + link.bytes(), 0),
        platformReads: testbed.platform.record().reads
    };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function usageBetween(policy: string, instances: number, before: ResourceSample, after: ResourceSample): PolicyResult {
    const seconds = (after.atMillis - before.atMillis) / 1_000;
    const cpuMicrosUsed = after.cpuMicros.map((micros, index) => micros - before.cpuMicros[index]!);
    return {
        policy,
        instances,
        cpuShare: mean(cpuMicrosUsed) / (seconds * 1_000_000),
        residentMegabytes: mean(after.residentBytes) / bytesPerMegabyte,
        controlBytesPerSecond: (after.controlBytes - before.controlBytes) / seconds / instances,
        platformReadsPerSecond: (after.platformReads - before.platformReads) / seconds / instances
    };
}

async function measureDeployment(
    instancesPerDomain: number,
    seed: number,
    seconds: number
): Promise<readonly PolicyResult[]> {
    const deployment: Deployment = { ...stacklight, instancesPerDomain };
    let results: readonly PolicyResult[] = [];
    await withTestbed(
        { deployment, seed, serviceMillis: defaultServiceMillis, hasSiblingLinks: true },
        async testbed => {
            const instanceCount = testbed.instances.length;
            await wait(3_000);
            const idleStartSample = await sampleResources(testbed);
            await wait(seconds * 400);
            const idleEndSample = await sampleResources(testbed);
            const streams = makeDeploymentStreams(stacklight, {
                load,
                serviceMillis: defaultServiceMillis,
                deadlineMillis: 4_000
            });
            await testbed.runLoad(streams, { seconds: seconds * 0.6 });
            const loadEndSample = await sampleResources(testbed);
            results = [
                usageBetween(`idle ${instanceCount}`, instanceCount, idleStartSample, idleEndSample),
                usageBetween(`load ${instanceCount}`, instanceCount, idleEndSample, loadEndSample)
            ];
            return { results, claims: [] };
        }
    );
    return results;
}

/** Measures the control-plane overhead per instance with 6, 12 and 24 instances, idle and under load. */
export const control: Scenario = async options => {
    const results: PolicyResult[] = [];
    for (const instancesPerDomain of instancesPerDomainCounts) {
        results.push(
            ...await measureDeployment(
                instancesPerDomain,
                options.seed,
                options.seconds / instancesPerDomainCounts.length
            )
        );
    }
    const largestIdle = results.filter(result => result.policy.startsWith("idle")).at(-1)!;
    return {
        results,
        claims: [
            claimAtMost("idle share of a core at 24 instances", Number(largestIdle.cpuShare), 0.026),
            claimAtMost("resident MB at 24 instances", Number(largestIdle.residentMegabytes), 128),
            claimAtMost("control bytes a second at 24 instances", Number(largestIdle.controlBytesPerSecond), 3_000)
        ]
    };
};
