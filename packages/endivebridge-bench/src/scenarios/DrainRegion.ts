import { stacklight } from "../Deployment";
import { labelNamed } from "../LoadPlan";
import { countSafety } from "../Safety";
import { atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import type { World } from "../World";
import { summarizeRun, usualServiceMillis, wait, withWorld } from "./Common";

const load = 0.6;
const drained = "kootenay";
const caps: Readonly<Record<string, number>> = { circulation: 60, patron: 20 };
const drainSeconds = 12;
const sharePerMinute = 60 / drainSeconds;

/** Requests that a region's servers began in the last while, a second. */
function startedIn(world: World, region: string): number {
    return world.records().filter(record => record.region === region).reduce((sum, record) => sum + record.ran, 0);
}

async function accept(world: World, version: number, drains: readonly unknown[]): Promise<void> {
    const instance = world.instances[0]!;
    const current = await world.askOperator(instance, "operator/configuration") as { readonly text: string; };
    const text = JSON.stringify({ ...JSON.parse(current.text) as object, drains });
    await world.command(instance, { basedOnVersion: version - 1, text, author: "bench", dryRun: false });
}

/** Callers whose look-ups still live when the rate has moved everyone come a little later. */
async function untilQuiet(world: World, startedMillis: number, mostMillis: number): Promise<number> {
    let before = startedIn(world, drained);
    let quietSince = performance.now();
    while (performance.now() - startedMillis < mostMillis) {
        await wait(100);
        const now = startedIn(world, drained);
        if (now !== before) {
            quietSince = performance.now();
            before = now;
        }
        if (performance.now() - quietSince > 1_000) {
            return quietSince - startedMillis;
        }
    }
    return Number.POSITIVE_INFINITY;
}

/** A region is drained at a rate, under caps that can take all of it, and returned. */
export const drain: Scenario = options =>
    withWorld({
        deployment: stacklight,
        seed: options.seed,
        serviceMillis: usualServiceMillis,
        configure: configuration =>
            Object.values(configuration.regions).forEach(region => region.inflowCapRequestsPerSecond = { ...caps })
    }, async world => {
        const usual = { load: load / 2, serviceMillis: usualServiceMillis, deadlineMillis: 4_000 };
        const running = world.runLoad(usualStreams(stacklight, usual), { seconds: options.seconds });
        await wait(5_000);
        const startedMillis = performance.now();
        await accept(world, 2, [{ region: drained, sharePerMinute, startedAtEpochMillis: Date.now() }]);
        const tookMillis = await untilQuiet(world, startedMillis, drainSeconds * 2_000);
        await accept(world, 3, []);
        const result = await running;
        const safety = countSafety(world.records(), result);
        const all = labelNamed(result, "all");
        return {
            results: [{ ...summarizeRun("endivebridge", result), ...safety, tookMillis }],
            claims: [
                atMost("requests cut", all.inDoubt, 0),
                atMost("requests failed", all.failed, 0),
                atMost("time against the best that the rate permits", tookMillis / (drainSeconds * 1_000), 1.25),
                atMost("dispatches beyond slots", safety.overSlotDispatches, 0)
            ]
        };
    });
