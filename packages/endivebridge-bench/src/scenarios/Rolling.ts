import { stacklight } from "../Deployment";
import { getLabelResult } from "../LoadPlan";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { countSafetyViolations } from "../Safety";
import { claimAtMost, type Scenario } from "../ScenarioReport";
import { defaultServiceMillis, summarizeRun, wait, withTestbed } from "./ScenarioSupport";

const load = 0.3;

/** Replaces every instance in turn, under load. */
export const rolling: Scenario = options =>
    withTestbed({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async testbed => {
        const loadOptions = { load, serviceMillis: defaultServiceMillis, deadlineMillis: 6_000 };
        const running = testbed.runLoad(makeDeploymentStreams(stacklight, loadOptions), { seconds: options.seconds });
        await wait(4_000);
        const untilMillis = performance.now() + (options.seconds - 5) * 1_000;
        let replaced = 0;
        // Two instances of different failure domains at a time: the runbook allows one per failure domain.
        const pairOffset = testbed.instances.length / 2;
        for (let index = 0; index < pairOffset && performance.now() < untilMillis; index += 1) {
            await Promise.all(
                [testbed.instances[index]!, testbed.instances[index + pairOffset]!].map(async instance => {
                    await testbed.stopInstance(instance, "SIGTERM");
                    await testbed.startInstance(instance);
                    replaced += 1;
                })
            );
        }
        const result = await running;
        const safety = countSafetyViolations(testbed.records(), result);
        const overall = getLabelResult(result, "all");
        return {
            results: [{ ...summarizeRun("endivebridge", result), ...safety, replaced }],
            claims: [
                claimAtMost("instances not replaced in the time", testbed.instances.length - replaced, 0),
                claimAtMost("requests cut or failed", overall.failed, 0),
                claimAtMost("operations in doubt", overall.inDoubt, 0),
                claimAtMost("doubled operations", safety.doubledOperations, 0)
            ]
        };
    });
