import { stacklight } from "../Deployment";
import type { InstanceProcess } from "../InstanceProcesses";
import { makeRandom } from "../Random";
import { countSafety } from "../Safety";
import { atMost, type Scenario } from "../ScenarioReport";
import { usualStreams } from "../Streams";
import type { World } from "../World";
import { summarizeRun, usualServiceMillis, wait, withWorld } from "./Common";

const load = 0.4;
const quietSeconds = 5;
const betweenFaultsMillis = 1_500;

interface FaultTarget {
    readonly world: World;
    readonly victim: InstanceProcess;
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
        cause: async ({ world, victim }) => {
            await world.stopInstance(victim, "SIGKILL");
            await wait(500);
            await world.startInstance(victim);
        }
    },
    {
        name: "pause",
        cause: async ({ victim }) => {
            victim.process?.kill("SIGSTOP");
            await wait(pauseMillis);
            victim.process?.kill("SIGCONT");
        }
    },
    {
        name: "cut callers' connections",
        cause: async ({ world, victim }) => {
            stacklight.regions.forEach(region => world.callerLinks.get(`${region}>${victim.instance}`)?.cut());
        }
    },
    {
        name: "silence callers' connections",
        cause: async ({ world, victim }) => {
            stacklight.regions.forEach(region => world.callerLinks.get(`${region}>${victim.instance}`)?.silence());
        }
    },
    {
        name: "silence peers' connections",
        cause: async ({ world, victim }) => {
            world.peerLinks.forEach((link, name) => name.endsWith(`>${victim.instance}`) && link.silence());
        }
    },
    {
        name: "lose the table's answers",
        cause: async ({ world }) => {
            world.platform.faults.lostAnswerShare = 0.5;
            await wait(lostAnswersMillis);
            world.platform.faults.lostAnswerShare = 0;
        }
    },
    {
        name: "partition a failure domain",
        cause: async ({ world, victim }) => {
            world.setPartitioned(victim.domain, true);
            await wait(partitionMillis);
            world.setPartitioned(victim.domain, false);
        }
    }
];

/** Causes faults one after the other, often while earlier ones last, until the time is up. */
async function causeFaults(world: World, random: () => number, untilMillis: number): Promise<readonly string[]> {
    const caused: string[] = [];
    const pending: Promise<void>[] = [];
    const busy = new Set<string>();
    while (performance.now() < untilMillis) {
        const fault = faults[Math.floor(random() * faults.length)]!;
        const victim = world.instances[Math.floor(random() * world.instances.length)]!;
        if (!busy.has(victim.instance)) {
            busy.add(victim.instance);
            caused.push(`${fault.name}: ${victim.instance}`);
            const done = fault.cause({ world, victim }).catch(error => caused.push(`failed: ${String(error)}`));
            pending.push(done.then(() => {
                busy.delete(victim.instance);
            }));
        }
        await wait(betweenFaultsMillis * random());
    }
    await Promise.all(pending);
    return caused;
}

/** Callers that resend on every doubt, under a seeded schedule of faults. */
export const operations: Scenario = options =>
    withWorld({ deployment: stacklight, seed: options.seed, serviceMillis: usualServiceMillis }, async world => {
        const usual = { load, serviceMillis: usualServiceMillis, deadlineMillis: 8_000 };
        const running = world.runLoad(usualStreams(stacklight, usual), { seconds: options.seconds });
        await wait(quietSeconds * 1_000);
        const untilMillis = performance.now() + (options.seconds - 2 * quietSeconds) * 1_000;
        const caused = await causeFaults(world, makeRandom(options.seed), untilMillis);
        const result = await running;
        const safety = countSafety(world.records(), result);
        const writes = result.labels.filter(label => label.label.startsWith("write:"));
        const sent = writes.reduce((sum, label) => sum + label.sent, 0);
        const inDoubt = writes.reduce((sum, label) => sum + label.inDoubt, 0);
        return {
            results: [{
                ...summarizeRun("endivebridge", result),
                ...safety,
                operations: sent,
                operationsInDoubt: inDoubt,
                caused
            }],
            claims: [
                atMost("doubled operations", safety.doubledOperations, 0),
                atMost("run though reported not run", safety.falseNotRun, 0),
                atMost("wrong or partial answers", safety.wrongAnswers, 0),
                atMost("share of operations in doubt", inDoubt / sent, 0.01)
            ]
        };
    });
