import { stacklight } from "../Deployment";
import type { LoadResult } from "../LoadPlan";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { countSafetyViolations } from "../Safety";
import { claimAtLeast, claimAtMost, type Scenario } from "../ScenarioReport";
import { defaultServiceMillis, summarizeRun, wait, withTestbed } from "./ScenarioSupport";

const load = 0.5;
const outageMillis = 15_000;
const slowResponseDelayMillis = 800;
const maxTableWritesPerSecond = 400;

/** Share of the requests sent that were answered, over all labels with the given prefix. */
export function answeredShare(result: LoadResult, prefix: string): number {
    const labels = result.labels.filter(label => label.label.startsWith(prefix));
    const sum = (field: "sent" | "answered") => labels.reduce((total, label) => total + label[field], 0);
    return sum("answered") / sum("sent");
}

/** Takes the platform's table service down for 15 s, then makes it slow for 4 s, then restores it. */
export const storeOutage: Scenario = options =>
    withTestbed({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async testbed => {
        const loadOptions = { load, serviceMillis: defaultServiceMillis, deadlineMillis: 4_000 };
        const running = testbed.runLoad(makeDeploymentStreams(stacklight, loadOptions), { seconds: options.seconds });
        await wait(5_000);
        testbed.platform.faults.isDown = true;
        await wait(outageMillis);
        testbed.platform.faults.isDown = false;
        testbed.platform.faults.delayMillis = slowResponseDelayMillis;
        await wait(4_000);
        testbed.platform.faults.delayMillis = 0;
        const result = await running;
        await wait(2_000);
        const record = testbed.platform.record();
        const safety = countSafetyViolations(testbed.records(), result);
        return {
            results: [{ ...summarizeRun("endivebridge", result), ...safety, platform: record }],
            claims: [
                claimAtLeast("idempotent success", answeredShare(result, "read:"), 0.999),
                claimAtLeast("success of operations with owned ids", answeredShare(result, "write:"), 0.99),
                claimAtMost("most writes in a second", record.peakWritesPerSecond, maxTableWritesPerSecond),
                claimAtMost("doubled operations", safety.doubledOperations, 0)
            ]
        };
    });
