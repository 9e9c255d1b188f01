import { registerCompletionHandler } from "ava";
import type { Deployment } from "../../Deployment";
import { getLabelResult, type LabelResult, type LoadResult } from "../../LoadPlan";
import { makeDeploymentStreams } from "../../MakeDeploymentStreams";
import { countSafetyViolations, type SafetyCounts } from "../../Safety";
import { type RunOptions, startTestbed, type Testbed, type TestbedOptions } from "../../Testbed";

/** Deployment of two regions, each with one failure domain of two instances. */
export const smallDeployment: Deployment = {
    name: "small",
    regions: ["east", "west"],
    domainsPerRegion: 1,
    instancesPerDomain: 2,
    interDomainDelayMillis: 0.5,
    interRegionDelayMillis: 5,
    clientDelayMillis: 1,
    interRegionMegabitsPerSecond: 280,
    services: [
        { service: "circulation", servers: 6, slots: 4, readPath: "/holds", writePath: "/checkouts", writeShare: 0.3 }
    ]
};

const serviceMillis = 60;

/** Delay of the exit after the last test, in which sockets and processes close. */
const exitDelayMillis = 500;
/** Resources open in every test process: the channel to the test runner and the timer below. */
const expectedResources = new Set(["PipeWrap", "Timeout"]);

// When a test process exits on its own under load, Node.js 20 sometimes loops forever while it frees its environment.
// An explicit exit skips that step.
registerCompletionHandler(() => {
    setTimeout(() => {
        const unexpectedResources = process.getActiveResourcesInfo().filter(kind => !expectedResources.has(kind));
        if (unexpectedResources.length > 0) {
            console.error(`resources still open after the last test: ${unexpectedResources.join(", ")}`);
        }
        process.exit();
    }, exitDelayMillis);
});

/** Starts a testbed of the small deployment with seed 7; options override the defaults. */
export function startSmallTestbed(options: Partial<TestbedOptions> = {}): Promise<Testbed> {
    return startTestbed({ deployment: smallDeployment, seed: 7, serviceMillis, ...options });
}

/** Runs reads and writes at a share of the capacity of the slots, without warm-up and with a ramp of 1 second. */
export function runSmallLoad(
    testbed: Testbed,
    load: number,
    run: RunOptions,
    deadlineMillis = 3_000
): Promise<LoadResult> {
    const streams = makeDeploymentStreams(smallDeployment, { load, serviceMillis, deadlineMillis });
    return testbed.runLoad(streams, { rampSeconds: 1, warmUpSeconds: 0, ...run });
}

/** Polls a condition every 100 ms; resolves with false if it is not met within `millis`. */
export async function waitUntil(holds: () => Promise<boolean>, millis = 15_000): Promise<boolean> {
    const giveUpAtMillis = performance.now() + millis;
    while (performance.now() < giveUpAtMillis) {
        if (await holds().catch(() => false)) {
            return true;
        }
        await pause(100);
    }
    return false;
}

/** Resolves after `millis`. */
export function pause(millis: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, millis));
}

/** Returns the safety counts and the result over all requests of a run. */
export function evaluateRun(
    testbed: Testbed,
    result: LoadResult
): { readonly safety: SafetyCounts; readonly all: LabelResult; } {
    return { safety: countSafetyViolations(testbed.records(), result), all: getLabelResult(result, "all") };
}

/** Safety counts of a run without violations. */
export const noViolations: SafetyCounts = {
    wrongAnswers: 0,
    doubledOperations: 0,
    falseNotRun: 0,
    overSlotDispatches: 0
};

/** Fields used by the tests of the state that an instance reports to operators. */
export interface InstanceView {
    readonly configurationVersion: number;
    readonly leaseHeld: boolean;
    readonly services: readonly {
        readonly servers: readonly { readonly server: string; readonly usableSlots: number; }[];
    }[];
}

/** Sum of the slots that an instance can use now, over all servers. */
export function usableSlots(view: InstanceView): number {
    return view.services.flatMap(service => service.servers).reduce((sum, server) => sum + server.usableSlots, 0);
}
