import { stacklight } from "../Deployment";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { countSafetyViolations } from "../Safety";
import { claimAtLeast, claimAtMost, type Scenario } from "../ScenarioReport";
import { defaultServiceMillis, summarizeRun, wait, withTestbed } from "./ScenarioSupport";
import { answeredShare } from "./StoreOutage";

const load = 0.4;
const partitionMillis = 10_000;
const partitionedDomain = "kootenay-1";

/** Cuts one failure domain off from all other domains and from the platform for 10 s. */
export const partition: Scenario = options =>
    withTestbed({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async testbed => {
        const loadOptions = { load, serviceMillis: defaultServiceMillis, deadlineMillis: 4_000 };
        const running = testbed.runLoad(makeDeploymentStreams(stacklight, loadOptions), { seconds: options.seconds });
        await wait(5_000);
        testbed.setPartitioned(partitionedDomain, true);
        await wait(partitionMillis);
        testbed.setPartitioned(partitionedDomain, false);
        const healedAtMillis = performance.now();
        let convergenceMillis = Number.POSITIVE_INFINITY;
        while (performance.now() - healedAtMillis < 15_000 && convergenceMillis === Number.POSITIVE_INFINITY) {
            const instanceStates = await Promise.all(
                testbed.instances.map(async each =>
                    await testbed.queryOperatorApi(each, "operator/instance") as {
                        readonly peers: readonly { readonly failing: boolean; }[];
                    }
                )
            );
            const hasConverged = instanceStates.every(state => state.peers.every(peer => !peer.failing));
            convergenceMillis = hasConverged ? performance.now() - healedAtMillis : convergenceMillis;
            await wait(100);
        }
        const result = await running;
        const safety = countSafetyViolations(testbed.records(), result);
        return {
            results: [{ ...summarizeRun("endivebridge", result), ...safety }],
            claims: [
                claimAtLeast("idempotent success of all callers", answeredShare(result, "read:"), 0.99),
                claimAtMost("doubled operations", safety.doubledOperations, 0),
                claimAtMost("falsely not run", safety.falseNotRun, 0),
                claimAtMost("every peer heard again after healing, ms", convergenceMillis, 5_000)
            ]
        };
    });
