import { findDeployment } from "./Deployment";
import { operatorKey } from "./InstanceProcesses";
import { labelNamed, type LoadResult } from "./LoadPlan";
import { countSafety, isSafe } from "./Safety";
import { usualStreams } from "./Streams";
import { startWorld, type World } from "./World";

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

function requestsPerRegion(world: World): Record<string, number> {
    const perRegion: Record<string, number> = {};
    for (const record of world.records()) {
        perRegion[record.region] = (perRegion[record.region] ?? 0) + record.ran;
    }
    return perRegion;
}

function printTable(world: World, result: LoadResult, safety: Record<string, number>): void {
    console.log(
        `\n${world.deployment.name}: ${world.instances.length} entry instances, ${world.backends.length} backend servers`
    );
    console.log("\ncalls                     answered   failed  in doubt   p50 ms   p99 ms  p99.9 ms");
    for (const label of result.labels) {
        const { p50Millis, p99Millis, p999Millis } = label.latency;
        const numbers = [label.answered, label.failed, label.inDoubt].map(value => String(value).padStart(9)).join("");
        const times = [p50Millis, p99Millis, p999Millis].map(value => value.toFixed(1).padStart(9)).join("");
        console.log(`${label.label.padEnd(24)}${numbers} ${times}`);
    }
    const kinds = Object.entries(labelNamed(result, "all").failedByKind);
    console.log(`\nerrors by kind: ${kinds.map(([kind, count]) => `${kind} ${count}`).join(", ") || "none"}`);
    const busiest = [...world.records()].sort((left, right) =>
        right.mostInFlight / right.slots - left.mostInFlight / left.slots
    )[0]!;
    console.log(`busiest backend server: ${busiest.server} ${busiest.mostInFlight}/${busiest.slots} in flight/slots`);
    const regions = Object.entries(requestsPerRegion(world));
    console.log(`requests run per region: ${regions.map(([region, count]) => `${region} ${count}`).join(", ")}`);
    console.log(`safety: ${Object.entries(safety).map(([name, count]) => `${name} ${count}`).join(", ")}`);
}

async function waitForInterrupt(world: World): Promise<void> {
    const entry = world.instances[0]!.callerAddress;
    console.log("\nthe deployment keeps running until Ctrl-C; commands to inspect it:");
    console.log(`  export ENDIVECTL_ADDRESS=${entry} ENDIVECTL_KEY=${operatorKey}`);
    console.log("  node dist/endivectl.js show instances");
    console.log("  node dist/endivectl.js show servers");
    console.log("  node dist/endivectl.js show configuration in force");
    console.log("  node dist/endivectl.js explain lookup 127.1.0.1 " + world.deployment.services[0]!.service);
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
    const world = await startWorld({ deployment, seed: options.seed, serviceMillis });
    try {
        const result = await world.runLoad(usualStreams(deployment, { load, serviceMillis }), {
            seconds: options.seconds,
            onProgress: (answered, failed) => console.log(`answered ${answered}, failed ${failed}`)
        });
        const allStreams = labelNamed(result, "all");
        const safety = countSafety(world.records(), result);
        printTable(world, result, { ...safety });
        if (options.stay) {
            await waitForInterrupt(world);
        }
        if (options.json) {
            console.log(JSON.stringify({
                deployment: deployment.name,
                entryInstances: world.instances.length,
                regions: requestsPerRegion(world),
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
        await world.close();
    }
}
