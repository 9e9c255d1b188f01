import { stacklight } from "../Deployment";
import { getLabelResult } from "../LoadPlan";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { prepareServersForBaselines, runBaseline } from "../RunBaseline";
import { claimAtMost, type Scenario } from "../ScenarioReport";
import type { Testbed } from "../Testbed";
import { defaultServiceMillis, summarizeRun, withTestbed } from "./ScenarioSupport";

const load = 0.6;
const slowFactor = 10;
const slowServerStride = 10;

/** Slows down every tenth server of each service and makes it report that it has no requests in flight. */
function slowEveryTenthServer(testbed: Testbed): void {
    testbed.backends.forEach(({ standIn }, index) => {
        if (index % slowServerStride === 0) {
            standIn.behaviour.slowFactor = slowFactor;
            standIn.behaviour.reportedInFlight = 0;
        }
    });
}

/** Makes a tenth of the servers ten times slower while they report no load, and compares with baseline policies. */
export const slowServers: Scenario = options =>
    withTestbed({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async testbed => {
        const seconds = options.seconds / 3.4;
        const streams = makeDeploymentStreams(stacklight, {
            load,
            serviceMillis: defaultServiceMillis,
            deadlineMillis: 8_000
        });
        const healthyResult = await testbed.runLoad(streams, { seconds });
        slowEveryTenthServer(testbed);
        const slowedResult = await testbed.runLoad(streams, { seconds });
        await prepareServersForBaselines(testbed);
        const roundRobinResult = await runBaseline(testbed, "round-robin", streams, { seconds: seconds * 0.7 });
        const leastInFlightResult = await runBaseline(testbed, "least-in-flight", streams, { seconds: seconds * 0.7 });
        const p99Millis = (result: typeof healthyResult) => getLabelResult(result, "all").latency.p99Millis;
        return {
            results: [
                summarizeRun("endivebridge healthy", healthyResult),
                summarizeRun("endivebridge", slowedResult),
                summarizeRun("round-robin", roundRobinResult),
                summarizeRun("least-in-flight", leastInFlightResult)
            ],
            claims: [
                claimAtMost("p99 against own healthy p99", p99Millis(slowedResult) / p99Millis(healthyResult), 2),
                claimAtMost("p99 against round-robin", p99Millis(slowedResult) / p99Millis(roundRobinResult), 0.4)
            ]
        };
    });
