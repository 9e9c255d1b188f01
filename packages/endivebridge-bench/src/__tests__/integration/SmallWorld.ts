import { registerCompletionHandler } from "ava";
import type { Deployment } from "../../Deployment";
import { labelNamed, type LabelResult, type LoadResult } from "../../LoadPlan";
import { countSafety, type SafetyCounts } from "../../Safety";
import { usualStreams } from "../../Streams";
import { type RunOptions, startWorld, type World, type WorldOptions } from "../../World";

/** Two regions with one failure domain of two instances each. */
export const smallDeployment: Deployment = {
    name: "small",
    regions: ["east", "west"],
    domainsPerRegion: 1,
    instancesPerDomain: 2,
    domainDelayMillis: 0.5,
    regionDelayMillis: 5,
    clientDelayMillis: 1,
    regionMegabitsPerSecond: 280,
    services: [
        { service: "circulation", servers: 6, slots: 4, readPath: "/holds", writePath: "/checkouts", writeShare: 0.3 }
    ]
};

const serviceMillis = 60;

/** Time for sockets and processes to close after the last test. */
const exitDelayMillis = 500;
/** Open in every test process: its channel to the test runner and the timer below. */
const expectedResources = new Set(["PipeWrap", "Timeout"]);

// Left to end by itself, Node.js 20 at times spins for ever while it frees its environment, beside load; an explicit end does
// not free it.
registerCompletionHandler(() => {
    setTimeout(() => {
        const unexpectedResources = process.getActiveResourcesInfo().filter(kind => !expectedResources.has(kind));
        if (unexpectedResources.length > 0) {
            console.error(`still open after the last test: ${unexpectedResources.join(", ")}`);
        }
        process.exit();
    }, exitDelayMillis);
});

/** Starts a small world for one test. */
export function startSmallWorld(options: Partial<WorldOptions> = {}): Promise<World> {
    return startWorld({ deployment: smallDeployment, seed: 7, serviceMillis, ...options });
}

/** Runs reads and writes at a share of the slots' capacity. */
export function runSmallLoad(world: World, load: number, run: RunOptions, deadlineMillis = 3_000): Promise<LoadResult> {
    const streams = usualStreams(smallDeployment, { load, serviceMillis, deadlineMillis });
    return world.runLoad(streams, { rampSeconds: 1, warmUpSeconds: 0, ...run });
}

/** Waits until something holds; gives up after `millis`. */
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

/** Waits. */
export function pause(millis: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, millis));
}

/** Safety counts and all calls of a run. */
export function evaluateRun(
    world: World,
    result: LoadResult
): { readonly safety: SafetyCounts; readonly all: LabelResult; } {
    return { safety: countSafety(world.records(), result), all: labelNamed(result, "all") };
}

/** Counts of a run in which nothing went wrong. */
export const noViolations: SafetyCounts = {
    wrongAnswers: 0,
    doubledOperations: 0,
    falseNotRun: 0,
    overSlotDispatches: 0
};

/** What an operator sees of one instance. */
export interface InstanceView {
    readonly configurationVersion: number;
    readonly leaseHeld: boolean;
    readonly services: readonly {
        readonly servers: readonly { readonly server: string; readonly usableSlots: number; }[];
    }[];
}

/** Slots that an instance may fill now. */
export function usableSlots(view: InstanceView): number {
    return view.services.flatMap(service => service.servers).reduce((sum, server) => sum + server.usableSlots, 0);
}
