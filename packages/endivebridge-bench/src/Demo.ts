import { findDeployment } from "./Deployment";
import { operatorKey } from "./InstanceProcesses";
import { getLabelResult, type LoadResult } from "./LoadPlan";
import { makeDeploymentStreams } from "./MakeDeploymentStreams";
import { countSafetyViolations, isSafe } from "./Safety";
import { startTestbed, type Testbed } from "./Testbed";

/** Command-line options of the demo. */
export interface DemoOptions {
    readonly deployment: string;
    readonly seconds: number;
    readonly json: boolean;
    readonly stay: boolean;
    readonly seed: number;
}

const serviceMillis = 100;
const load = 0.5;

function requestsPerRegion(testbed: Testbed): Record<string, number> {
    const perRegion: Record<string, number> = {};
    for (const record of testbed.records()) {
        perRegion[record.region] = (perRegion[record.region] ?? 0) + record.ran;
    }
    return perRegion;
}

function printTable(testbed: Testbed, result: LoadResult, safety: Record<string, number>): void {
    console.log(
        `\n${testbed.deployment.name}: ${testbed.instances.length} entry instances, ${testbed.backends.length} backend servers`
    );
    console.log("\ncalls                     answered   failed  in doubt   p50 ms   p99 ms  p99.9 ms");
    for (const label of result.labels) {
        const { p50Millis, p99Millis, p999Millis } = label.latency;
        const numbers = [label.answered, label.failed, label.inDoubt].map(value => String(value).padStart(9)).join("");
        const times = [p50Millis, p99Millis, p999Millis].map(value => value.toFixed(1).padStart(9)).join("");
        console.log(`${label.label.padEnd(24)}${numbers} ${times}`);
    }
    const kinds = Object.entries(getLabelResult(result, "all").failedByKind);
    console.log(`\nerrors by kind: ${kinds.map(([kind, count]) => `${kind} ${count}`).join(", ") || "none"}`);
    const busiest = [...testbed.records()].sort((left, right) =>
        right.mostInFlight / right.slots - left.mostInFlight / left.slots
    )[0]!;
    console.log(`busiest backend server: ${busiest.server} ${busiest.mostInFlight}/${busiest.slots} in flight/slots`);
    const regions = Object.entries(requestsPerRegion(testbed));
    console.log(`requests run per region: ${regions.map(([region, count]) => `${region} ${count}`).join(", ")}`);
    console.log(`safety: ${Object.entries(safety).map(([name, count]) => `${name} ${count}`).join(", ")}`);
}

async function waitForInterrupt(testbed: Testbed): Promise<void> {
    const entry = testbed.instances[0]!.callerAddress;
    console.log("\nthe deployment keeps running until Ctrl-C; commands to inspect it:");
    console.log(`  export ENDIVECTL_ADDRESS=${entry} ENDIVECTL_KEY=${operatorKey}`);
    console.log("  node dist/endivectl.js show instances");
    console.log("  node dist/endivectl.js show servers");
    console.log("  node dist/endivectl.js show configuration in force");
    console.log("  node dist/endivectl.js explain lookup 127.1.0.1 " + testbed.deployment.services[0]!.service);
    await new Promise<void>(resolve => process.once("SIGINT", () => resolve()));
}

/** Runs the demo; resolves with the exit code: 0 when every safety count is 0, 2 for an unknown deployment. */
export async function runDemo(options: DemoOptions): Promise<number> {
    const deployment = findDeployment(options.deployment);
    if (deployment === undefined) {
        console.error(`unknown deployment ${options.deployment}; use stacklight or gedeon`);
        return 2;
    }
    console.log(`starting ${deployment.name} ...`);
    const testbed = await startTestbed({ deployment, seed: options.seed, serviceMillis });
    try {
        const result = await testbed.runLoad(makeDeploymentStreams(deployment, { load, serviceMillis }), {
            seconds: options.seconds,
            onProgress: (answered, failed) => console.log(`answered ${answered}, failed ${failed}`)
        });
        const allStreams = getLabelResult(result, "all");
        const safety = countSafetyViolations(testbed.records(), result);
        printTable(testbed, result, { ...safety });
        if (options.stay) {
            await waitForInterrupt(testbed);
        }
        if (options.json) {
            console.log(JSON.stringify({
                deployment: deployment.name,
                entryInstances: testbed.instances.length,
                regions: requestsPerRegion(testbed),
                answered: allStreams.answered,
                failed: allStreams.failed,
                ...safety,
                p50Millis: allStreams.latency.p50Millis,
                p99Millis: allStreams.latency.p99Millis,
                labels: result.labels.map(label => ({ ...label, windows: undefined }))
            }));
        }
        return isSafe(safety) ? 0 : 1;
    }
    finally {
        await testbed.close();
    }
}
