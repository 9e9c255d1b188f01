import { stacklight } from "../Deployment";
import { labelNamed } from "../LoadPlan";
import { countSafety } from "../Safety";
import { atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import { defaultServiceMillis, summarizeRun, wait, withWorld } from "./ScenarioSupport";

const load = 0.3;

/** Replaces every instance in turn, under load. */
export const rolling: Scenario = options =>
    withWorld({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async world => {
        const loadOptions = { load, serviceMillis: defaultServiceMillis, deadlineMillis: 6_000 };
        const running = world.runLoad(usualStreams(stacklight, loadOptions), { seconds: options.seconds });
        await wait(4_000);
        const untilMillis = performance.now() + (options.seconds - 5) * 1_000;
        let replaced = 0;
        // Two instances of different failure domains at a time: the runbook allows one per failure domain.
        const pairOffset = world.instances.length / 2;
        for (let index = 0; index < pairOffset && performance.now() < untilMillis; index += 1) {
            await Promise.all([world.instances[index]!, world.instances[index + pairOffset]!].map(async instance => {
                await world.stopInstance(instance, "SIGTERM");
                await world.startInstance(instance);
                replaced += 1;
            }));
        }
        const result = await running;
        const safety = countSafety(world.records(), result);
        const overall = labelNamed(result, "all");
        return {
            results: [{ ...summarizeRun("endivebridge", result), ...safety, replaced }],
            claims: [
                atMost("instances not replaced in the time", world.instances.length - replaced, 0),
                atMost("requests cut or failed", overall.failed, 0),
                atMost("operations in doubt", overall.inDoubt, 0),
                atMost("doubled operations", safety.doubledOperations, 0)
            ]
        };
    });
