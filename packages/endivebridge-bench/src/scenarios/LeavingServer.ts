import { stacklight } from "../Deployment";
import { getLabelResult } from "../LoadPlan";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { countSafetyViolations } from "../Safety";
import { claimAtMost, type Scenario } from "../ScenarioReport";
import { defaultServiceMillis, summarizeRun, withTestbed } from "./ScenarioSupport";

const load = 0.7;
const leavingServerCount = 4;

/** Lists servers as leaving under load and measures how long after that each one still receives new requests. */
export const leavingServer: Scenario = options =>
    withTestbed({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async testbed => {
        const leaving = testbed.backends.slice(0, leavingServerCount).map(each => each.standIn);
        let listedAtMillis = 0;
        const timer = setTimeout(() => {
            leaving.forEach(standIn => testbed.leavingServers.add(standIn.server));
            listedAtMillis = Date.now();
            testbed.publishInstanceList();
        }, options.seconds * 500);
        const streams = makeDeploymentStreams(stacklight, {
            load,
            serviceMillis: defaultServiceMillis,
            deadlineMillis: 4_000
        });
        const result = await testbed.runLoad(streams, { seconds: options.seconds });
        clearTimeout(timer);
        const lastRequestDelaysMillis = leaving.map(standIn => standIn.record.lastWorkAtMillis - listedAtMillis);
        const safety = countSafetyViolations(testbed.records(), result);
        return {
            results: [{
                ...summarizeRun("endivebridge", result),
                ...safety,
                lastWorkAfterListingMillis: lastRequestDelaysMillis
            }],
            claims: [
                claimAtMost("last new work after being listed, ms", Math.max(...lastRequestDelaysMillis), 3_000),
                claimAtMost("failed", getLabelResult(result, "all").failed, 0),
                claimAtMost("dispatches beyond slots", safety.overSlotDispatches, 0)
            ]
        };
    });
