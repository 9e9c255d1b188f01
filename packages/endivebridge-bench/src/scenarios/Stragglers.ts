import { stacklight } from "../Deployment";
import { getLabelResult, type LoadResult, type LoadStream } from "../LoadPlan";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { prepareServersForBaselines, runBaseline } from "../RunBaseline";
import { claimAtMost, type Scenario } from "../ScenarioReport";
import { summarizeRun, withTestbed } from "./ScenarioSupport";

const load = 0.7;
const serviceMillis = 120;
const stragglerShare = 0.02;
const stragglerFactor = 20;
const meanServiceTimeFactor = 1 + stragglerShare * (stragglerFactor - 1);

/** Splits each stream into ordinary requests and stragglers, which take `stragglerFactor` times longer to serve. */
function withStragglers(streams: readonly LoadStream[]): readonly LoadStream[] {
    return streams.flatMap(stream => [
        { ...stream, label: "ordinary", requestsPerSecond: stream.requestsPerSecond * (1 - stragglerShare) },
        {
            ...stream,
            label: "straggler",
            path: `${stream.path}?factor=${stragglerFactor}`,
            requestsPerSecond: stream.requestsPerSecond * stragglerShare
        }
    ]);
}

/** Makes 2% of the requests run 20 times longer and measures the effect on the other requests. */
export const stragglers: Scenario = options =>
    withTestbed({ deployment: stacklight, seed: options.seed, serviceMillis }, async testbed => {
        const run = { seconds: options.seconds / 4, rampSeconds: 2 };
        // The load includes the work of stragglers, so that runs with and without them keep the slots equally busy.
        const loadOptions = { serviceMillis, deadlineMillis: 16_000, isReadOnly: true };
        const ordinaryStreams = makeDeploymentStreams(stacklight, { ...loadOptions, load }).map(stream => ({
            ...stream,
            label: "ordinary"
        }));
        const mixedStreams = withStragglers(
            makeDeploymentStreams(stacklight, { ...loadOptions, load: load / meanServiceTimeFactor })
        );
        const withoutStragglersResult = await testbed.runLoad(ordinaryStreams, run);
        const endivebridgeResult = await testbed.runLoad(mixedStreams, run);
        await prepareServersForBaselines(testbed);
        const roundRobinResult = await runBaseline(testbed, "round-robin", mixedStreams, run);
        const leastInFlightResult = await runBaseline(testbed, "least-in-flight", mixedStreams, run);
        const ordinaryRequests = (result: LoadResult) => getLabelResult(result, "ordinary");
        return {
            results: [
                {
                    ...summarizeRun("endivebridge without stragglers", withoutStragglersResult),
                    ordinary: ordinaryRequests(withoutStragglersResult).wait
                },
                {
                    ...summarizeRun("endivebridge", endivebridgeResult),
                    ordinary: ordinaryRequests(endivebridgeResult).wait
                },
                { ...summarizeRun("round-robin", roundRobinResult), ordinary: ordinaryRequests(roundRobinResult).wait },
                {
                    ...summarizeRun("least-in-flight", leastInFlightResult),
                    ordinary: ordinaryRequests(leastInFlightResult).wait
                }
            ],
            claims: [
                claimAtMost(
                    "ordinary p99 queue wait against round-robin",
                    ordinaryRequests(endivebridgeResult).wait.p99Millis
                        / ordinaryRequests(roundRobinResult).wait.p99Millis,
                    0.5
                ),
                claimAtMost(
                    "ordinary p99 against a run without stragglers",
                    ordinaryRequests(endivebridgeResult).latency.p99Millis
                        / ordinaryRequests(withoutStragglersResult).latency.p99Millis,
                    2
                )
            ]
        };
    });
