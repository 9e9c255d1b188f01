import { stacklight } from "../Deployment";
import { getLabelResult } from "../LoadPlan";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { countSafetyViolations } from "../Safety";
import { claimAtMost, type Scenario } from "../ScenarioReport";
import type { Testbed } from "../Testbed";
import { defaultServiceMillis, summarizeRun, wait, withTestbed } from "./ScenarioSupport";

const load = 0.6;
const drainedRegion = "kootenay";
const inflowCapsRequestsPerSecond: Readonly<Record<string, number>> = { circulation: 60, patron: 20 };
const drainSeconds = 12;
const sharePerMinute = 60 / drainSeconds;

/** Total number of requests that the servers of a region have started so far. */
function countStartedRequests(testbed: Testbed, region: string): number {
    return testbed.records().filter(record => record.region === region).reduce((sum, record) => sum + record.ran, 0);
}

/** Submits the current configuration with the given drains, to be accepted as the given version. */
async function accept(testbed: Testbed, version: number, drains: readonly unknown[]): Promise<void> {
    const instance = testbed.instances[0]!;
    const currentConfiguration = await testbed.queryOperatorApi(instance, "operator/configuration") as {
        readonly text: string;
    };
    const text = JSON.stringify({ ...JSON.parse(currentConfiguration.text) as object, drains });
    await testbed.command(instance, { basedOnVersion: version - 1, text, author: "bench", dryRun: false });
}

/**
 * Measures the time until a drained region starts no more requests. Callers with an unexpired look-up keep sending
 * to the region for a short time after the drain has moved every share, so the drain counts as complete only once no
 * request has started for 1 s.
 */
async function measureDrainMillis(testbed: Testbed, drainStartMillis: number, timeoutMillis: number): Promise<number> {
    let lastStartedCount = countStartedRequests(testbed, drainedRegion);
    let idleSinceMillis = performance.now();
    while (performance.now() - drainStartMillis < timeoutMillis) {
        await wait(100);
        const now = countStartedRequests(testbed, drainedRegion);
        if (now !== lastStartedCount) {
            idleSinceMillis = performance.now();
            lastStartedCount = now;
        }
        if (performance.now() - idleSinceMillis > 1_000) {
            return idleSinceMillis - drainStartMillis;
        }
    }
    return Number.POSITIVE_INFINITY;
}

/**
 * Drains a region at a limited rate and then cancels the drain. The inflow caps of the other regions are high enough
 * for all of its load.
 */
export const drain: Scenario = options =>
    withTestbed({
        deployment: stacklight,
        seed: options.seed,
        serviceMillis: defaultServiceMillis,
        configure: configuration =>
            Object.values(configuration.regions).forEach(region =>
                region.inflowCapRequestsPerSecond = { ...inflowCapsRequestsPerSecond }
            )
    }, async testbed => {
        const loadOptions = { load: load / 2, serviceMillis: defaultServiceMillis, deadlineMillis: 4_000 };
        const running = testbed.runLoad(makeDeploymentStreams(stacklight, loadOptions), { seconds: options.seconds });
        await wait(5_000);
        const drainStartMillis = performance.now();
        await accept(testbed, 2, [{ region: drainedRegion, sharePerMinute, startedAtEpochMillis: Date.now() }]);
        const tookMillis = await measureDrainMillis(testbed, drainStartMillis, drainSeconds * 2_000);
        await accept(testbed, 3, []);
        const result = await running;
        const safety = countSafetyViolations(testbed.records(), result);
        const overall = getLabelResult(result, "all");
        return {
            results: [{ ...summarizeRun("endivebridge", result), ...safety, tookMillis }],
            claims: [
                claimAtMost("requests cut", overall.inDoubt, 0),
                claimAtMost("requests failed", overall.failed, 0),
                claimAtMost("time against the best that the rate permits", tookMillis / (drainSeconds * 1_000), 1.25),
                claimAtMost("dispatches beyond slots", safety.overSlotDispatches, 0)
            ]
        };
    });
