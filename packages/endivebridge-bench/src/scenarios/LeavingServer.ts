import { stacklight } from "../Deployment";
import { labelNamed } from "../LoadPlan";
import { countSafety } from "../Safety";
import { atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import { defaultServiceMillis, summarizeRun, withWorld } from "./ScenarioSupport";

const load = 0.7;
const leavingServerCount = 4;

/** Lists servers as leaving under load and measures how long after that each one still receives new requests. */
export const leavingServer: Scenario = options =>
    withWorld({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async world => {
        const leaving = world.backends.slice(0, leavingServerCount).map(each => each.standIn);
        let listedAtMillis = 0;
        const timer = setTimeout(() => {
            leaving.forEach(standIn => world.leavingServers.add(standIn.server));
            listedAtMillis = Date.now();
            world.publishList();
        }, options.seconds * 500);
        const streams = usualStreams(stacklight, { load, serviceMillis: defaultServiceMillis, deadlineMillis: 4_000 });
        const result = await world.runLoad(streams, { seconds: options.seconds });
        clearTimeout(timer);
        const lastRequestDelaysMillis = leaving.map(standIn => standIn.record.lastWorkAtMillis - listedAtMillis);
        const safety = countSafety(world.records(), result);
        return {
            results: [{
                ...summarizeRun("endivebridge", result),
                ...safety,
                lastWorkAfterListingMillis: lastRequestDelaysMillis
            }],
            claims: [
                atMost("last new work after being listed, ms", Math.max(...lastRequestDelaysMillis), 3_000),
                atMost("failed", labelNamed(result, "all").failed, 0),
                atMost("dispatches beyond slots", safety.overSlotDispatches, 0)
            ]
        };
    });
