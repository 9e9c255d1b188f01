import { getLabelResult, type LoadResult } from "../LoadPlan";
import type { PolicyResult, Scenario } from "../ScenarioReport";
import { startTestbed, type Testbed, type TestbedOptions } from "../Testbed";

/** Mean service time of the simulated backend servers, for scenarios that do not set their own. */
export const defaultServiceMillis = 240;

/** Starts a simulated deployment, runs `measure` in it and closes it, also when `measure` throws. */
export async function withTestbed(
    options: TestbedOptions,
    measure: (testbed: Testbed) => ReturnType<Scenario>
): ReturnType<Scenario> {
    const testbed = await startTestbed(options);
    try {
        return await measure(testbed);
    }
    finally {
        await testbed.close();
    }
}

/** Extracts the report's totals over all requests of one load run. */
export function summarizeRun(policy: string, result: LoadResult): PolicyResult {
    const { sent, answered, failed, inDoubt, latency, wait, refusal, failedByKind } = getLabelResult(result, "all");
    return { policy, sent, answered, failed, inDoubt, latency, wait, refusal, failedByKind };
}

/** Resolves after the given number of milliseconds. */
export function wait(millis: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, millis));
}
