import { stacklight } from "../Deployment";
import { getLabelResult } from "../LoadPlan";
import { makeDeploymentStreams } from "../MakeDeploymentStreams";
import { countSafetyViolations } from "../Safety";
import { claimAtLeast, claimAtMost, type Scenario } from "../ScenarioReport";
import { defaultServiceMillis, summarizeRun, withTestbed } from "./ScenarioSupport";

const load = 0.6;
const settleMillis = 2_000;
const warmUpMillis = 5_000;

/**
 * Makes every open connection to a third of the servers drop all bytes from the same moment, without closing. New
 * connections work.
 */
export const silentConnections: Scenario = options =>
    withTestbed(
        { deployment: stacklight, seed: options.seed, serviceMillis: defaultServiceMillis, hasBackendLinks: true },
        async testbed => {
            let silencedAtEpochMillis = 0;
            const timer = setTimeout(() => {
                silencedAtEpochMillis = Date.now();
                testbed.backends.forEach(({ standIn }, index) => {
                    if (index % 3 === 0) {
                        testbed.backendLinks.get(standIn.server)?.silence();
                    }
                });
            }, options.seconds * 500);
            const loadOptions = { load, serviceMillis: defaultServiceMillis, isReadOnly: true, deadlineMillis: 4_000 };
            const result = await testbed.runLoad(makeDeploymentStreams(stacklight, loadOptions), {
                seconds: options.seconds
            });
            clearTimeout(timer);
            const overall = getLabelResult(result, "all");
            const silencedAtMillis = silencedAtEpochMillis - result.startedAtMillis;
            const windowsUnderLoad = overall.windows.filter(each => each.startMillis < (options.seconds - 1) * 1_000);
            const healthyWindows = windowsUnderLoad.filter(each =>
                each.startMillis > warmUpMillis && each.startMillis < silencedAtMillis - 500
            );
            const after = windowsUnderLoad.filter(each => each.startMillis >= silencedAtMillis + settleMillis);
            const worstP99Millis = (windows: typeof healthyWindows) => Math.max(...windows.map(each => each.p99Millis));
            const safety = countSafetyViolations(testbed.records(), result);
            return {
                results: [{ ...summarizeRun("endivebridge", result), ...safety, windows: overall.windows }],
                claims: [
                    claimAtLeast("idempotent success", overall.answered / overall.sent, 0.999),
                    claimAtMost(
                        "worst p99 of a window 2 s later against healthy",
                        worstP99Millis(after) / worstP99Millis(healthyWindows),
                        2
                    )
                ]
            };
        }
    );
