import { stacklight } from "../Deployment";
import { labelNamed } from "../LoadPlan";
import { countSafety } from "../Safety";
import { atLeast, atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import { summarizeRun, usualServiceMillis, withWorld } from "./Common";

const load = 0.6;
const settleMillis = 2_000;

/** Every open connection to a third of the servers goes silent at once; new ones work. */
export const silentConnections: Scenario = options =>
    withWorld(
        { deployment: stacklight, seed: options.seed, serviceMillis: usualServiceMillis, backendLinks: true },
        async world => {
            const silentAtMillis = options.seconds * 500;
            const timer = setTimeout(() => {
                world.backends.forEach(({ standIn }, index) => {
                    if (index % 3 === 0) {
                        world.backendLinks.get(standIn.server)?.silence();
                    }
                });
            }, silentAtMillis);
            const usual = { load, serviceMillis: usualServiceMillis, readsOnly: true, deadlineMillis: 4_000 };
            const result = await world.runLoad(usualStreams(stacklight, usual), { seconds: options.seconds });
            clearTimeout(timer);
            const all = labelNamed(result, "all");
            const settledMillis = silentAtMillis + settleMillis;
            // The load starts some time after the timer does, so the window right after is left out too.
            const healthy = all.windows.filter(each =>
                each.startMillis > 5_000 && each.startMillis < silentAtMillis - 1_500
            );
            const after = all.windows.filter(each => each.startMillis >= settledMillis);
            const worst = (windows: typeof healthy) => Math.max(...windows.map(each => each.p99Millis));
            const safety = countSafety(world.records(), result);
            return {
                results: [{ ...summarizeRun("endivebridge", result), ...safety, windows: all.windows }],
                claims: [
                    atLeast("idempotent success", all.answered / all.sent, 0.999),
                    atMost("worst p99 of a window 2 s later against healthy", worst(after) / worst(healthy), 2)
                ]
            };
        }
    );
