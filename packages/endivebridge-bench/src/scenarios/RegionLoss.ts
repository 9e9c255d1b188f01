import { stacklight } from "../Deployment";
import { labelNamed, type LoadResult } from "../LoadPlan";
import { countSafety } from "../Safety";
import { atLeast, atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import type { World } from "../World";
import { summarizeRun, usualServiceMillis, wait, withWorld } from "./Common";

const load = 0.6;
const lostRegion = "kootenay";
const inflowCaps: Readonly<Record<string, number>> = { circulation: 40, patron: 12 };
const recoveryMillis = 6_000;

/** Most starts of foreign requests in any one-second window of a region and service. */
function worstInflow(world: World, service: string, region: string): number {
    const times = world.records()
        .filter(record => record.service === service && record.region === region)
        .flatMap(record => record.inflowAtMillis)
        .sort((left, right) => left - right);
    let first = 0;
    let worst = 0;
    times.forEach((time, last) => {
        while (times[first]! <= time - 1_000) {
            first += 1;
        }
        worst = Math.max(worst, last - first + 1);
    });
    return worst;
}

function inflowBetween(world: World, fromMillis: number, toMillis: number): number {
    const times = world.records().flatMap(record => record.inflowAtMillis);
    return times.filter(time => time >= fromMillis && time < toMillis).length;
}

async function killRegion(world: World, region: string): Promise<void> {
    world.backends.filter(each => each.region === region).forEach(each => each.standIn.crash());
    const lost = world.instances.filter(instance => instance.region === region);
    await Promise.all(lost.map(instance => world.stopInstance(instance, "SIGKILL")));
}

async function returnRegion(world: World, region: string): Promise<void> {
    world.backends.filter(each => each.region === region).forEach(each => each.standIn.restart());
    await Promise.all(world.instances.filter(each => each.region === region).map(world.startInstance));
}

/** One region is killed with its servers and instances, and comes back. */
export const regionLoss: Scenario = options =>
    withWorld({
        deployment: stacklight,
        seed: options.seed,
        serviceMillis: usualServiceMillis,
        configure: configuration =>
            Object.values(configuration.regions).forEach(region =>
                region.inflowCapRequestsPerSecond = { ...inflowCaps }
            )
    }, async world => {
        const usual = { load, serviceMillis: usualServiceMillis, readsOnly: true, deadlineMillis: 4_000 };
        const streams = usualStreams(stacklight, usual);
        const running: Promise<LoadResult> = world.runLoad(streams, { seconds: options.seconds });
        await wait(options.seconds * 300);
        await killRegion(world, lostRegion);
        await wait(recoveryMillis);
        const fromMillis = Date.now();
        await wait(options.seconds * 300);
        const toMillis = Date.now();
        await returnRegion(world, lostRegion);
        const result = await running;
        const others = stacklight.regions.filter(region => region !== lostRegion);
        const seconds = (toMillis - fromMillis) / 1_000;
        const demand = (service: string) =>
            streams.filter(each => each.region === lostRegion && each.service === service)
                .reduce((sum, each) => sum + each.requestsPerSecond, 0);
        const allowed = Object.entries(inflowCaps)
            .reduce((sum, [service, cap]) => sum + Math.min(cap * others.length, demand(service)), 0);
        const share = inflowBetween(world, fromMillis, toMillis) / (allowed * seconds);
        const worst = others.flatMap(region =>
            Object.entries(inflowCaps).map(([service, cap]) => worstInflow(world, service, region) / cap)
        );
        const safety = countSafety(world.records(), result);
        const all = labelNamed(result, "all");
        return {
            results: [{ ...summarizeRun("endivebridge", result), ...safety, windows: all.windows }],
            claims: [
                atMost("dispatches beyond slots", safety.overSlotDispatches, 0),
                atMost("worst inflow of a one-second window against the cap", Math.max(...worst), 1),
                atLeast("answered share of what the cap allows", share, 0.95)
            ]
        };
    });
