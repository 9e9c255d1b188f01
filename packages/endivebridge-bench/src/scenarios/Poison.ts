import { makeCaller } from "@endivebridge/caller";
import { tokenHeader } from "@endivebridge/standins";
import { Effect, Result } from "effect";
import { clientNetworkPrefix, stacklight } from "../Deployment";
import { getLabelResult } from "../LoadPlan";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { claimAtLeast, claimAtMost, type Scenario } from "../ScenarioReport";
import type { Testbed } from "../Testbed";
import { defaultServiceMillis, summarizeRun, withTestbed } from "./ScenarioSupport";

const load = 0.6;
const poisonRequestCount = 3;
const restartMillis = 2_000;
const maxSends = 20;

interface PoisonOutcome {
    readonly region: string;
    readonly resends: number;
    readonly refusedAs: string;
    readonly serversLost: number;
}

/** Total number of server crashes so far. */
function crashes(testbed: Testbed): number {
    return testbed.records().reduce((sum, record) => sum + record.crashes, 0);
}

/** Resends one request that crashes its server until the request is refused as quarantined or `maxSends` is reached. */
async function sendUntilQuarantined(testbed: Testbed, index: number): Promise<PoisonOutcome> {
    const region = stacklight.regions[index % stacklight.regions.length]!;
    const caller = makeCaller({
        entryAddresses: testbed.instances.map(instance => instance.callerAddress),
        localAddress: `${clientNetworkPrefix(stacklight, region)}.200.${index + 1}`
    });
    const crashesBefore = crashes(testbed);
    let refusedAs = "never refused";
    let resends = 0;
    while (refusedAs !== "quarantined" && resends < maxSends) {
        resends += 1;
        const result = await Effect.runPromise(Effect.result(caller.send({
            service: "circulation",
            method: "GET",
            path: `/poison/${index}`,
            headers: () => ({ [tokenHeader]: `poison-${index}` }),
            idempotent: true,
            deadlineMillis: 2_000
        })));
        refusedAs = Result.isFailure(result) ? result.failure.kind : "answered";
    }
    caller.close();
    return { region, resends, refusedAs, serversLost: crashes(testbed) - crashesBefore };
}

/** Callers resend requests that crash their servers until the requests are quarantined, under a load of other reads. */
export const poison: Scenario = options =>
    withTestbed({ deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis }, async testbed => {
        testbed.backends.forEach(({ standIn }) => standIn.behaviour.restartMillis = restartMillis);
        const loadOptions = { load, serviceMillis: defaultServiceMillis, isReadOnly: true, deadlineMillis: 4_000 };
        const running = testbed.runLoad(makeDeploymentStreams(stacklight, loadOptions), { seconds: options.seconds });
        await new Promise(resolve => setTimeout(resolve, options.seconds * 400));
        const outcomes: PoisonOutcome[] = [];
        for (let index = 0; index < poisonRequestCount; index += 1) {
            outcomes.push(await sendUntilQuarantined(testbed, index));
        }
        const result = await running;
        const overall = getLabelResult(result, "all");
        return {
            results: [{ ...summarizeRun("endivebridge", result), outcomes }],
            claims: [
                claimAtMost(
                    "servers lost to one poison request",
                    Math.max(...outcomes.map(each => each.serversLost)),
                    2
                ),
                claimAtLeast(
                    "poison requests refused",
                    outcomes.filter(each => each.refusedAs === "quarantined").length,
                    poisonRequestCount
                ),
                claimAtLeast("other requests answered", overall.answered / overall.sent, 0.999)
            ]
        };
    });
