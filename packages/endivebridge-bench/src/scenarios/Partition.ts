import { stacklight } from "../Deployment";
import { countSafety } from "../Safety";
import { atLeast, atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import { defaultServiceMillis, summarizeRun, wait, withWorld } from "./ScenarioSupport";
import { answeredShare } from "./StoreOutage";

const load = 0.4;
const partitionMillis = 10_000;
const partitionedDomain = "kootenay-1";

/** Cuts one failure domain off from all other domains and from the platform for 10 s. */
export const partition: Scenario = options =>
    withWorld({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async world => {
        const loadOptions = { load, serviceMillis: defaultServiceMillis, deadlineMillis: 4_000 };
        const running = world.runLoad(usualStreams(stacklight, loadOptions), { seconds: options.seconds });
        await wait(5_000);
        world.setPartitioned(partitionedDomain, true);
        await wait(partitionMillis);
        world.setPartitioned(partitionedDomain, false);
        const healedAtMillis = performance.now();
        let convergenceMillis = Number.POSITIVE_INFINITY;
        while (performance.now() - healedAtMillis < 15_000 && convergenceMillis === Number.POSITIVE_INFINITY) {
            const instanceStates = await Promise.all(
                world.instances.map(async each =>
                    await world.askOperator(each, "operator/instance") as {
                        readonly peers: readonly { readonly failing: boolean; }[];
                    }
                )
            );
            const hasConverged = instanceStates.every(state => state.peers.every(peer => !peer.failing));
            convergenceMillis = hasConverged ? performance.now() - healedAtMillis : convergenceMillis;
            await wait(100);
        }
        const result = await running;
        const safety = countSafety(world.records(), result);
        return {
            results: [{ ...summarizeRun("endivebridge", result), ...safety }],
            claims: [
                atLeast("idempotent success of all callers", answeredShare(result, "read:"), 0.99),
                atMost("doubled operations", safety.doubledOperations, 0),
                atMost("falsely not run", safety.falseNotRun, 0),
                atMost("every peer heard again after healing, ms", convergenceMillis, 5_000)
            ]
        };
    });
