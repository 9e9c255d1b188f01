import { stacklight } from "../Deployment";
import { getLabelResult, type LoadResult } from "../LoadPlan";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { countSafetyViolations } from "../Safety";
import { claimAtLeast, claimAtMost, type Scenario } from "../ScenarioReport";
import type { Testbed } from "../Testbed";
import { defaultServiceMillis, summarizeRun, wait, withTestbed } from "./ScenarioSupport";

const load = 0.6;
const lostRegion = "kootenay";
const inflowCapsRequestsPerSecond: Readonly<Record<string, number>> = { circulation: 40, patron: 12 };
const recoveryWaitMillis = 6_000;

/** Largest number of requests from other regions that a service in a region starts within any one-second window. */
function peakInflowPerSecond(testbed: Testbed, service: string, region: string): number {
    const startTimesMillis = testbed.records()
        .filter(record => record.service === service && record.region === region)
        .flatMap(record => record.inflowAtMillis)
        .sort((left, right) => left - right);
    let windowStart = 0;
    let peak = 0;
    startTimesMillis.forEach((time, index) => {
        while (startTimesMillis[windowStart]! <= time - 1_000) {
            windowStart += 1;
        }
        peak = Math.max(peak, index - windowStart + 1);
    });
    return peak;
}

function countInflowBetween(testbed: Testbed, fromMillis: number, toMillis: number): number {
    const startTimesMillis = testbed.records().flatMap(record => record.inflowAtMillis);
    return startTimesMillis.filter(time => time >= fromMillis && time < toMillis).length;
}

async function killRegion(testbed: Testbed, region: string): Promise<void> {
    testbed.backends.filter(each => each.region === region).forEach(each => each.standIn.crash());
    const lost = testbed.instances.filter(instance => instance.region === region);
    await Promise.all(lost.map(instance => testbed.stopInstance(instance, "SIGKILL")));
}

async function restartRegion(testbed: Testbed, region: string): Promise<void> {
    testbed.backends.filter(each => each.region === region).forEach(each => each.standIn.restart());
    await Promise.all(testbed.instances.filter(each => each.region === region).map(testbed.startInstance));
}

/** Kills all servers and instances of one region and later restarts them. */
export const regionLoss: Scenario = options =>
    withTestbed({
        deployment: stacklight,
        seed: options.seed,
        serviceMillis: defaultServiceMillis,
        configure: configuration =>
            Object.values(configuration.regions).forEach(region =>
                region.inflowCapRequestsPerSecond = { ...inflowCapsRequestsPerSecond }
            )
    }, async testbed => {
        const loadOptions = { load, serviceMillis: defaultServiceMillis, isReadOnly: true, deadlineMillis: 4_000 };
        const streams = makeDeploymentStreams(stacklight, loadOptions);
        const running: Promise<LoadResult> = testbed.runLoad(streams, { seconds: options.seconds });
        await wait(options.seconds * 300);
        await killRegion(testbed, lostRegion);
        await wait(recoveryWaitMillis);
        const fromMillis = Date.now();
        await wait(options.seconds * 300);
        const toMillis = Date.now();
        await restartRegion(testbed, lostRegion);
        const result = await running;
        const survivingRegions = stacklight.regions.filter(region => region !== lostRegion);
        const seconds = (toMillis - fromMillis) / 1_000;
        const demandPerSecond = (service: string) =>
            streams.filter(each => each.region === lostRegion && each.service === service)
                .reduce((sum, each) => sum + each.requestsPerSecond, 0);
        const allowedRequestsPerSecond = Object.entries(inflowCapsRequestsPerSecond)
            .reduce(
                (sum, [service, cap]) => sum + Math.min(cap * survivingRegions.length, demandPerSecond(service)),
                0
            );
        const share = countInflowBetween(testbed, fromMillis, toMillis) / (allowedRequestsPerSecond * seconds);
        const peakInflowToCapRatios = survivingRegions.flatMap(region =>
            Object.entries(inflowCapsRequestsPerSecond).map(([service, cap]) =>
                peakInflowPerSecond(testbed, service, region) / cap
            )
        );
        const safety = countSafetyViolations(testbed.records(), result);
        const overall = getLabelResult(result, "all");
        return {
            results: [{ ...summarizeRun("endivebridge", result), ...safety, windows: overall.windows }],
            claims: [
                claimAtMost("dispatches beyond slots", safety.overSlotDispatches, 0),
                claimAtMost(
                    "worst inflow of a one-second window against the cap",
                    Math.max(...peakInflowToCapRatios),
                    1
                ),
                claimAtLeast("answered share of what the cap allows", share, 0.95)
            ]
        };
    });
