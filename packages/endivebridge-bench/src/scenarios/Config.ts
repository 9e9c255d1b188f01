import { stacklight } from "../Deployment";
import type { InstanceProcess } from "../InstanceProcesses";
import { atLeast, atMost, type Scenario } from "../ScenarioReport";
import type { World } from "../World";
import { usualServiceMillis, wait, withWorld } from "./Common";

const changes = 40;
const betweenChangesMillis = 400;
const flapEveryMillis = 2_500;
const flapMillis = 500;
const lostAnswerShare = 0.2;
const pollMillis = 50;
const settleMillis = 5_000;

interface CommandAnswer {
    readonly outcome: string;
    readonly version: number;
}

/** What was seen of the versions in force. */
interface Watch {
    readonly stop: () => void;
    reverts: number;
    /** Latest version that every watched instance had, with the time at which it was first seen. */
    readonly inForceAtMillis: Map<number, number>;
}

interface InstanceState {
    readonly incarnation: string;
    readonly configurationVersion: number;
}

/** Watches every instance that answers; a lower version within one incarnation is a revert. */
function watchVersions(world: World, restarting: ReadonlySet<string>): Watch {
    const last = new Map<string, InstanceState>();
    let stopped = false;
    const watch: Watch = { stop: () => stopped = true, reverts: 0, inForceAtMillis: new Map() };
    const look = async (instance: InstanceProcess): Promise<InstanceState | undefined> => {
        const state = await world.askOperator(instance, "operator/instance").catch(() => undefined) as
            | InstanceState
            | undefined;
        const before = last.get(instance.instance);
        if (state !== undefined) {
            const reverted = before?.incarnation === state.incarnation
                && state.configurationVersion < before.configurationVersion;
            watch.reverts += reverted ? 1 : 0;
            last.set(instance.instance, state);
        }
        return state;
    };
    const run = async () => {
        while (!stopped) {
            const states = await Promise.all(world.instances.map(look));
            const counted = world.instances.flatMap((instance, index) =>
                restarting.has(instance.instance) ? [] : [states[index]?.configurationVersion ?? 0]
            );
            const lowest = Math.min(...counted);
            for (let version = lowest; version > 0 && !watch.inForceAtMillis.has(version); version -= 1) {
                watch.inForceAtMillis.set(version, performance.now());
            }
            await wait(pollMillis);
        }
    };
    void run();
    return watch;
}

async function restart(world: World, restarting: Set<string>, instance: InstanceProcess): Promise<void> {
    restarting.add(instance.instance);
    await world.stopInstance(instance, "SIGKILL");
    await world.startInstance(instance);
    restarting.delete(instance.instance);
}

/** Two operators change the configuration at once, again and again, while the platform flaps and instances restart. */
export const config: Scenario = options =>
    withWorld({ deployment: stacklight, seed: options.seed, serviceMillis: usualServiceMillis }, async world => {
        const restarting = new Set<string>();
        const watch = watchVersions(world, restarting);
        const flap = setInterval(() => {
            world.platform.faults.down = true;
            setTimeout(() => world.platform.faults.down = false, flapMillis);
        }, flapEveryMillis);
        world.platform.faults.lostAnswerShare = lostAnswerShare;
        const { text } = await world.askOperator(world.instances[0]!, "operator/configuration") as {
            readonly text: string;
        };
        const acceptedAtMillis = new Map<number, number>();
        const winners: string[] = [];
        let version = 1;
        let conflicts = 0;
        const restarts: Promise<void>[] = [];
        for (let change = 0; change < changes; change += 1) {
            const operators = [world.instances[change % 3]!, world.instances[6 + (change % 3)]!];
            const answers = await Promise.all(operators.map((instance, operator) => {
                const author = `operator-${operator}-${change}`;
                return world.command(instance, { basedOnVersion: version, text, author, dryRun: false })
                    .then(answer => ({ author, answer: answer as CommandAnswer }))
                    .catch(() => ({ author, answer: { outcome: "lost", version: 0 } }));
            }));
            for (const { author, answer } of answers) {
                if (answer.outcome === "accepted") {
                    acceptedAtMillis.set(answer.version, performance.now());
                    winners.push(`${answer.version} ${author}`);
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
                restarts.push(restart(world, restarting, world.instances[4 + (change % 2)]!));
            }
            await wait(betweenChangesMillis);
        }
        clearInterval(flap);
        await Promise.all(restarts);
        await wait(settleMillis);
        watch.stop();
        const delays = [...acceptedAtMillis].map(([accepted, atMillis]) =>
            (watch.inForceAtMillis.get(accepted) ?? Number.POSITIVE_INFINITY) - atMillis
        );
        const rows = [...world.platform.rows()].filter(([key]) => key.startsWith("configuration/"));
        const authors = rows.map(([, row]) =>
            (row.value as { readonly value: { readonly author: string; }; }).value.author
        );
        const wrongWinners = winners.filter(winner => {
            const [accepted = "", author = ""] = winner.split(" ");
            const row = world.platform.rows().get(`configuration/${accepted.padStart(10, "0")}`);
            return (row?.value as { readonly value: { readonly author: string; }; } | undefined)?.value.author
                !== author;
        });
        const doubled = authors.length - new Set(authors).size + rows.filter(([, row]) => row.version > 1).length;
        return {
            results: [{ policy: "endivebridge", versions: rows.length, accepted: acceptedAtMillis.size, conflicts }],
            claims: [
                atLeast("changes accepted", acceptedAtMillis.size, changes / 2),
                atMost("accepted to in force everywhere, ms", Math.max(...delays), 3_000),
                atMost("reverts", watch.reverts, 0),
                atMost("applied twice", doubled, 0),
                atMost("told accepted, but another stands", wrongWinners.length, 0)
            ]
        };
    });
