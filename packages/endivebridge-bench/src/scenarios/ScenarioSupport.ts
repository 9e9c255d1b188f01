import { labelNamed, type LoadResult } from "../LoadPlan";
import type { PolicyResult, Scenario } from "../ScenarioReport";
import { startWorld, type World, type WorldOptions } from "../World";

/** Mean service time of the stand-in servers in scenarios. */
export const defaultServiceMillis = 240;

/** Starts a world, runs what is to be measured in it, and ends it whatever happens. */
export async function withWorld(
    options: WorldOptions,
    measure: (world: World) => ReturnType<Scenario>
): ReturnType<Scenario> {
    const world = await startWorld(options);
    try {
        return await measure(world);
    }
    finally {
        await world.close();
    }
}

/** Figures of one run for the report. */
export function summarizeRun(policy: string, result: LoadResult): PolicyResult {
    const { sent, answered, failed, inDoubt, latency, wait, refusal, failedByKind } = labelNamed(result, "all");
    return { policy, sent, answered, failed, inDoubt, latency, wait, refusal, failedByKind };
}

/** Waits. */
export function wait(millis: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, millis));
}
