import { stacklight } from "../Deployment";
import { countSafety } from "../Safety";
import { atLeast, atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import { summarizeRun, usualServiceMillis, wait, withWorld } from "./Common";
import { answeredShare } from "./StoreOutage";

const load = 0.4;
const cutMillis = 10_000;
const cutDomain = "kootenay-1";

/** One failure domain is cut off from all others and from the platform for 10 s. */
export const partition: Scenario = options =>
    withWorld({ deployment: stacklight, seed: options.seed, serviceMillis: usualServiceMillis }, async world => {
        const usual = { load, serviceMillis: usualServiceMillis, deadlineMillis: 4_000 };
        const running = world.runLoad(usualStreams(stacklight, usual), { seconds: options.seconds });
        await wait(5_000);
        world.setPartitioned(cutDomain, true);
        await wait(cutMillis);
        world.setPartitioned(cutDomain, false);
        const healedMillis = performance.now();
        let agreedMillis = Number.POSITIVE_INFINITY;
        while (performance.now() - healedMillis < 15_000 && agreedMillis === Number.POSITIVE_INFINITY) {
            const views = await Promise.all(
                world.instances.map(async each =>
                    await world.askOperator(each, "operator/instance") as {
                        readonly peers: readonly { readonly failing: boolean; }[];
                    }
                )
            );
            const agreed = views.every(view => view.peers.every(peer => !peer.failing));
            agreedMillis = agreed ? performance.now() - healedMillis : agreedMillis;
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
                atMost("every peer heard again after healing, ms", agreedMillis, 5_000)
            ]
        };
    });
