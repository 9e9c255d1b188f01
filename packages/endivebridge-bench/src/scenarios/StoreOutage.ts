import { stacklight } from "../Deployment";
import type { LoadResult } from "../LoadPlan";
import { countSafety } from "../Safety";
import { atLeast, atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import { defaultServiceMillis, summarizeRun, wait, withWorld } from "./ScenarioSupport";

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
    withWorld({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async world => {
        const loadOptions = { load, serviceMillis: defaultServiceMillis, deadlineMillis: 4_000 };
        const running = world.runLoad(usualStreams(stacklight, loadOptions), { seconds: options.seconds });
        await wait(5_000);
        world.platform.faults.down = true;
        await wait(outageMillis);
        world.platform.faults.down = false;
        world.platform.faults.delayMillis = slowResponseDelayMillis;
        await wait(4_000);
        world.platform.faults.delayMillis = 0;
        const result = await running;
        await wait(2_000);
        const record = world.platform.record();
        const safety = countSafety(world.records(), result);
        return {
            results: [{ ...summarizeRun("endivebridge", result), ...safety, platform: record }],
            claims: [
                atLeast("idempotent success", answeredShare(result, "read:"), 0.999),
                atLeast("success of operations with owned ids", answeredShare(result, "write:"), 0.99),
                atMost("most writes in a second", record.mostWritesPerSecond, maxTableWritesPerSecond),
                atMost("doubled operations", safety.doubledOperations, 0)
            ]
        };
    });
