import { stacklight } from "../Deployment";
import type { InstanceProcess } from "../InstanceProcesses";
import { claimAtLeast, claimAtMost, type Scenario } from "../ScenarioReport";
import type { Testbed } from "../Testbed";
import { defaultServiceMillis, wait, withTestbed } from "./ScenarioSupport";

const changeCount = 40;
const changeIntervalMillis = 400;
const outageIntervalMillis = 2_500;
const outageMillis = 500;
const lostAnswerShare = 0.2;
const pollIntervalMillis = 50;
const propagationWaitMillis = 5_000;

interface CommandResult {
    readonly outcome: string;
    readonly version: number;
}

/** Configuration versions that a poller of all instances has observed so far. */
interface VersionWatch {
    readonly stop: () => void;
    reverts: number;
    /**
     * For each version, the time at which all instances that are not being restarted were first seen with that version
     * or a later one. An instance that does not respond counts as having none.
     */
    readonly activeEverywhereAtMillis: Map<number, number>;
}

interface InstanceState {
    readonly incarnation: string;
    readonly configurationVersion: number;
}

/**
 * Polls the configuration version of every instance that responds. A lower version within one incarnation of an
 * instance counts as a revert.
 */
function watchVersions(testbed: Testbed, restartingInstances: ReadonlySet<string>): VersionWatch {
    const lastStates = new Map<string, InstanceState>();
    let stopped = false;
    const watch: VersionWatch = { stop: () => stopped = true, reverts: 0, activeEverywhereAtMillis: new Map() };
    const pollInstance = async (instance: InstanceProcess): Promise<InstanceState | undefined> => {
        const state = await testbed.queryOperatorApi(instance, "operator/instance").catch(() => undefined) as
            | InstanceState
            | undefined;
        const previousState = lastStates.get(instance.instance);
        if (state !== undefined) {
            const reverted = previousState?.incarnation === state.incarnation
                && state.configurationVersion < previousState.configurationVersion;
            watch.reverts += reverted ? 1 : 0;
            lastStates.set(instance.instance, state);
        }
        return state;
    };
    const run = async () => {
        while (!stopped) {
            const states = await Promise.all(testbed.instances.map(pollInstance));
            const versions = testbed.instances.flatMap((instance, index) =>
                restartingInstances.has(instance.instance) ? [] : [states[index]?.configurationVersion ?? 0]
            );
            const lowestVersion = Math.min(...versions);
            for (
                let version = lowestVersion;
                version > 0 && !watch.activeEverywhereAtMillis.has(version);
                version -= 1
            ) {
                watch.activeEverywhereAtMillis.set(version, performance.now());
            }
            await wait(pollIntervalMillis);
        }
    };
    void run();
    return watch;
}

async function restartInstance(
    testbed: Testbed,
    restartingInstances: Set<string>,
    instance: InstanceProcess
): Promise<void> {
    restartingInstances.add(instance.instance);
    await testbed.stopInstance(instance, "SIGKILL");
    await testbed.startInstance(instance);
    restartingInstances.delete(instance.instance);
}

/**
 * Two operators repeatedly and simultaneously submit configuration changes based on the same version, while the
 * platform has short outages and instances restart.
 */
export const config: Scenario = options =>
    withTestbed({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async testbed => {
        const restartingInstances = new Set<string>();
        const watch = watchVersions(testbed, restartingInstances);
        const outageTimer = setInterval(() => {
            testbed.platform.faults.isDown = true;
            setTimeout(() => testbed.platform.faults.isDown = false, outageMillis);
        }, outageIntervalMillis);
        testbed.platform.faults.lostResponseShare = lostAnswerShare;
        const { text } = await testbed.queryOperatorApi(testbed.instances[0]!, "operator/configuration") as {
            readonly text: string;
        };
        const acceptedAtMillis = new Map<number, number>();
        const acceptedChanges: string[] = [];
        let version = 1;
        let conflicts = 0;
        const restarts: Promise<void>[] = [];
        for (let change = 0; change < changeCount; change += 1) {
            const entryInstances = [testbed.instances[change % 3]!, testbed.instances[6 + (change % 3)]!];
            const answers = await Promise.all(entryInstances.map((instance, operator) => {
                const author = `operator-${operator}-${change}`;
                return testbed.command(instance, { basedOnVersion: version, text, author, dryRun: false })
                    .then(answer => ({ author, answer: answer as CommandResult }))
                    .catch(() => ({ author, answer: { outcome: "lost", version: 0 } }));
            }));
            for (const { author, answer } of answers) {
                if (answer.outcome === "accepted") {
                    acceptedAtMillis.set(answer.version, performance.now());
                    acceptedChanges.push(`${answer.version} ${author}`);
                }
                conflicts += answer.outcome === "conflict" ? 1 : 0;
            }
            version = Math.max(
                version,
                ...answers.map(({ answer }) =>
                    answer.outcome === "accepted" || answer.outcome === "conflict" ? answer.version : 0
                )
            );
            if (change === 12 || change === 25) {
                restarts.push(restartInstance(testbed, restartingInstances, testbed.instances[4 + (change % 2)]!));
            }
            await wait(changeIntervalMillis);
        }
        clearInterval(outageTimer);
        await Promise.all(restarts);
        await wait(propagationWaitMillis);
        watch.stop();
        const propagationDelaysMillis = [...acceptedAtMillis].map(([accepted, atMillis]) =>
            (watch.activeEverywhereAtMillis.get(accepted) ?? Number.POSITIVE_INFINITY) - atMillis
        );
        const rows = [...testbed.platform.rows()].filter(([key]) => key.startsWith("configuration/"));
        const authors = rows.map(([, row]) =>
            (row.value as { readonly value: { readonly author: string; }; }).value.author
        );
        const mismatchedChanges = acceptedChanges.filter(acceptedChange => {
            const [accepted = "", author = ""] = acceptedChange.split(" ");
            const row = testbed.platform.rows().get(`configuration/${accepted.padStart(10, "0")}`);
            return (row?.value as { readonly value: { readonly author: string; }; } | undefined)?.value.author
                !== author;
        });
        const duplicateCount = authors.length - new Set(authors).size
            + rows.filter(([, row]) => row.version > 1).length;
        return {
            results: [{ policy: "endivebridge", versions: rows.length, accepted: acceptedAtMillis.size, conflicts }],
            claims: [
                claimAtLeast("changes accepted", acceptedAtMillis.size, changeCount / 2),
                claimAtMost("accepted to in force everywhere, ms", Math.max(...propagationDelaysMillis), 3_000),
                claimAtMost("reverts", watch.reverts, 0),
                claimAtMost("applied twice", duplicateCount, 0),
                claimAtMost("told accepted, but another stands", mismatchedChanges.length, 0)
            ]
        };
    });
