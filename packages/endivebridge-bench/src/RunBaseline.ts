import { fork } from "node:child_process";
import type { BaselinePlan, BaselinePolicy } from "./Baseline";
import type { LoadResult, LoadStream } from "./LoadPlan";
import { programPath } from "./Programs";
import type { RunOptions, Testbed } from "./Testbed";

/** Runs a load on the testbed's stand-in servers through a baseline proxy, one process per region. */
export async function runBaseline(
    testbed: Testbed,
    policy: BaselinePolicy,
    streams: readonly LoadStream[],
    run: RunOptions
): Promise<LoadResult> {
    const started = await Promise.all(testbed.deployment.regions.map(async region => {
        const servers = testbed.backends.filter(each => each.region === region).map(({ standIn }) => ({
            service: standIn.service,
            host: "127.0.0.1",
            port: standIn.port
        }));
        const plan: BaselinePlan = { policy, servers };
        const child = fork(programPath("endivebench"), ["baseline-process", JSON.stringify(plan)]);
        const port = await new Promise<number>(resolve =>
            child.once("message", message => resolve((message as { readonly port: number; }).port))
        );
        await testbed.openCallerRoute(region, `127.0.0.1:${port}`);
        return { region, child, address: `127.0.0.1:${port}` };
    }));
    try {
        const entryAddresses = Object.fromEntries(started.map(each => [each.region, [each.address]]));
        return await testbed.runLoad(streams, { ...run, entryAddresses });
    }
    finally {
        started.forEach(each => each.child.disconnect());
    }
}

/** Makes servers queue requests beyond their slots, as baselines require, and kills the entry instances. */
export async function prepareServersForBaselines(testbed: Testbed): Promise<void> {
    testbed.backends.forEach(({ standIn }) => standIn.behaviour.overloadHandling = "queue");
    await Promise.all(testbed.instances.map(instance => testbed.stopInstance(instance, "SIGKILL")));
}
