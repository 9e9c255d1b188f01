import { stacklight } from "../Deployment";
import type { InstanceProcess } from "../InstanceProcesses";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { makeRandom } from "../Random";
import { countSafetyViolations } from "../Safety";
import { claimAtMost, type Scenario } from "../ScenarioReport";
import type { Testbed } from "../Testbed";
import { defaultServiceMillis, summarizeRun, wait, withTestbed } from "./ScenarioSupport";

const load = 0.4;
const faultFreeSeconds = 5;
const maxFaultIntervalMillis = 1_500;

interface FaultTarget {
    readonly testbed: Testbed;
    readonly targetInstance: InstanceProcess;
}

interface Fault {
    readonly name: string;
    readonly cause: (target: FaultTarget) => Promise<void>;
}

const pauseMillis = 5_000;
const partitionMillis = 4_000;
const lostAnswersMillis = 3_000;

const faults: readonly Fault[] = [
    {
        name: "kill",
        cause: async ({ testbed, targetInstance }) => {
            await testbed.stopInstance(targetInstance, "SIGKILL");
            await wait(500);
            await testbed.startInstance(targetInstance);
        }
    },
    {
        name: "pause",
        cause: async ({ targetInstance }) => {
            targetInstance.process?.kill("SIGSTOP");
            await wait(pauseMillis);
            targetInstance.process?.kill("SIGCONT");
        }
    },
    {
        name: "cut callers' connections",
        cause: async ({ testbed, targetInstance }) => {
            stacklight.regions.forEach(region =>
                testbed.callerLinks.get(`${region}>${targetInstance.instance}`)?.resetConnections()
            );
        }
    },
    {
        name: "silence callers' connections",
        cause: async ({ testbed, targetInstance }) => {
            stacklight.regions.forEach(region =>
                testbed.callerLinks.get(`${region}>${targetInstance.instance}`)?.silence()
            );
        }
    },
    {
        name: "silence peers' connections",
        cause: async ({ testbed, targetInstance }) => {
            testbed.peerLinks.forEach((link, name) => name.endsWith(`>${targetInstance.instance}`) && link.silence());
        }
    },
    {
        name: "lose the table's answers",
        cause: async ({ testbed }) => {
            testbed.platform.faults.lostResponseShare = 0.5;
            await wait(lostAnswersMillis);
            testbed.platform.faults.lostResponseShare = 0;
        }
    },
    {
        name: "partition a failure domain",
        cause: async ({ testbed, targetInstance }) => {
            testbed.setPartitioned(targetInstance.domain, true);
            await wait(partitionMillis);
            testbed.setPartitioned(targetInstance.domain, false);
        }
    }
];

/**
 * Injects random faults until the given time and returns their descriptions. Faults often overlap, but an instance is
 * the target of at most one at a time.
 */
async function injectFaults(testbed: Testbed, random: () => number, untilMillis: number): Promise<readonly string[]> {
    const injectedFaults: string[] = [];
    const pending: Promise<void>[] = [];
    const instancesUnderFault = new Set<string>();
    while (performance.now() < untilMillis) {
        const fault = faults[Math.floor(random() * faults.length)]!;
        const targetInstance = testbed.instances[Math.floor(random() * testbed.instances.length)]!;
        if (!instancesUnderFault.has(targetInstance.instance)) {
            instancesUnderFault.add(targetInstance.instance);
            injectedFaults.push(`${fault.name}: ${targetInstance.instance}`);
            const injection = fault.cause({ testbed, targetInstance }).catch(error =>
                injectedFaults.push(`failed: ${String(error)}`)
            );
            pending.push(injection.then(() => {
                instancesUnderFault.delete(targetInstance.instance);
            }));
        }
        await wait(maxFaultIntervalMillis * random());
    }
    await Promise.all(pending);
    return injectedFaults;
}

/** Injects a seeded sequence of faults while callers resend every request whose outcome is in doubt. */
export const operations: Scenario = options =>
    withTestbed({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async testbed => {
        const loadOptions = { load, serviceMillis: defaultServiceMillis, deadlineMillis: 8_000 };
        const running = testbed.runLoad(makeDeploymentStreams(stacklight, loadOptions), { seconds: options.seconds });
        await wait(faultFreeSeconds * 1_000);
        const untilMillis = performance.now() + (options.seconds - 2 * faultFreeSeconds) * 1_000;
        const injectedFaults = await injectFaults(testbed, makeRandom(options.seed), untilMillis);
        const result = await running;
        const safety = countSafetyViolations(testbed.records(), result);
        const writeResults = result.labels.filter(label => label.label.startsWith("write:"));
        const sent = writeResults.reduce((sum, label) => sum + label.sent, 0);
        const inDoubt = writeResults.reduce((sum, label) => sum + label.inDoubt, 0);
        return {
            results: [{
                ...summarizeRun("endivebridge", result),
                ...safety,
                operations: sent,
                operationsInDoubt: inDoubt,
                caused: injectedFaults
            }],
            claims: [
                claimAtMost("doubled operations", safety.doubledOperations, 0),
                claimAtMost("run though reported not run", safety.falseNotRun, 0),
                claimAtMost("wrong or partial answers", safety.wrongAnswers, 0),
                claimAtMost("share of operations in doubt", inDoubt / sent, 0.01)
            ]
        };
    });
