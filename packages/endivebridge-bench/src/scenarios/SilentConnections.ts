import { stacklight } from "../Deployment";
import { labelNamed } from "../LoadPlan";
import { countSafety } from "../Safety";
import { atLeast, atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import { summarizeRun, usualServiceMillis, withWorld } from "./Common";

const load = 0.6;
const settleMillis = 2_000;
const warmMillis = 5_000;

/** Every open connection to a third of the servers goes silent at once; new ones work. */
export const silentConnections: Scenario = options =>
    withWorld(
        { deployment: stacklight, seed: options.seed, serviceMillis: usualServiceMillis, backendLinks: true },
        async world => {
            let silentAtEpochMillis = 0;
            const timer = setTimeout(() => {
                silentAtEpochMillis = Date.now();
                world.backends.forEach(({ standIn }, index) => {
                    if (index % 3 === 0) {
                        world.backendLinks.get(standIn.server)?.silence();
                    }
                });
            }, options.seconds * 500);
            const usual = { load, serviceMillis: usualServiceMillis, readsOnly: true, deadlineMillis: 4_000 };
            const result = await world.runLoad(usualStreams(stacklight, usual), { seconds: options.seconds });
            clearTimeout(timer);
            const all = labelNamed(result, "all");
            const silentAtMillis = silentAtEpochMillis - result.startedAtMillis;
            const sending = all.windows.filter(each => each.startMillis < (options.seconds - 1) * 1_000);
            const healthy = sending.filter(each =>
                each.startMillis > warmMillis && each.startMillis < silentAtMillis - 500
            );
            const after = sending.filter(each => each.startMillis >= silentAtMillis + settleMillis);
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
