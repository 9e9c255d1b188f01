import { stacklight } from "../Deployment";
import { labelNamed, type LoadResult, type LoadStream } from "../LoadPlan";
import { prepareBaselines, runBaseline } from "../RunBaseline";
import { atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import { summarizeRun, withWorld } from "./ScenarioSupport";

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
    withWorld({ deployment: stacklight, seed: options.seed, serviceMillis }, async world => {
        const run = { seconds: options.seconds / 4, rampSeconds: 2 };
        // The load includes the work of stragglers, so that runs with and without them keep the slots equally busy.
        const loadOptions = { serviceMillis, deadlineMillis: 16_000, readsOnly: true };
        const ordinaryStreams = usualStreams(stacklight, { ...loadOptions, load }).map(stream => ({
            ...stream,
            label: "ordinary"
        }));
        const mixedStreams = withStragglers(
            usualStreams(stacklight, { ...loadOptions, load: load / meanServiceTimeFactor })
        );
        const withoutStragglersResult = await world.runLoad(ordinaryStreams, run);
        const endivebridgeResult = await world.runLoad(mixedStreams, run);
        await prepareBaselines(world);
        const roundRobinResult = await runBaseline(world, "round-robin", mixedStreams, run);
        const leastInFlightResult = await runBaseline(world, "least-in-flight", mixedStreams, run);
        const ordinaryRequests = (result: LoadResult) => labelNamed(result, "ordinary");
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
                atMost(
                    "ordinary p99 queue wait against round-robin",
                    ordinaryRequests(endivebridgeResult).wait.p99Millis
                        / ordinaryRequests(roundRobinResult).wait.p99Millis,
                    0.5
                ),
                atMost(
                    "ordinary p99 against a run without stragglers",
                    ordinaryRequests(endivebridgeResult).latency.p99Millis
                        / ordinaryRequests(withoutStragglersResult).latency.p99Millis,
                    2
                )
            ]
        };
    });
