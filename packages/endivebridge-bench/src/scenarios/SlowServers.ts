import { stacklight } from "../Deployment";
import { labelNamed } from "../LoadPlan";
import { prepareBaselines, runBaseline } from "../RunBaseline";
import { atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import type { World } from "../World";
import { defaultServiceMillis, summarizeRun, withWorld } from "./ScenarioSupport";

const load = 0.6;
const slowFactor = 10;
const slowServerStride = 10;

/** Slows down every tenth server of each service and makes it report that it has no requests in flight. */
function slowEveryTenthServer(world: World): void {
    world.backends.forEach(({ standIn }, index) => {
        if (index % slowServerStride === 0) {
            standIn.behaviour.slowFactor = slowFactor;
            standIn.behaviour.reportedInFlight = 0;
        }
    });
}

/** Makes a tenth of the servers ten times slower while they report no load, and compares with baseline policies. */
export const slowServers: Scenario = options =>
    withWorld({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async world => {
        const seconds = options.seconds / 3.4;
        const streams = usualStreams(stacklight, { load, serviceMillis: defaultServiceMillis, deadlineMillis: 8_000 });
        const healthyResult = await world.runLoad(streams, { seconds });
        slowEveryTenthServer(world);
        const slowedResult = await world.runLoad(streams, { seconds });
        await prepareBaselines(world);
        const roundRobinResult = await runBaseline(world, "round-robin", streams, { seconds: seconds * 0.7 });
        const leastInFlightResult = await runBaseline(world, "least-in-flight", streams, { seconds: seconds * 0.7 });
        const p99Millis = (result: typeof healthyResult) => labelNamed(result, "all").latency.p99Millis;
        return {
            results: [
                summarizeRun("endivebridge healthy", healthyResult),
                summarizeRun("endivebridge", slowedResult),
                summarizeRun("round-robin", roundRobinResult),
                summarizeRun("least-in-flight", leastInFlightResult)
            ],
            claims: [
                atMost("p99 against own healthy p99", p99Millis(slowedResult) / p99Millis(healthyResult), 2),
                atMost("p99 against round-robin", p99Millis(slowedResult) / p99Millis(roundRobinResult), 0.4)
            ]
        };
    });
