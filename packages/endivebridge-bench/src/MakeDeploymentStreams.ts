import type { Deployment } from "./Deployment";
import type { LoadStream } from "./LoadPlan";

/** Parameters of a load over all services and regions of a deployment. */
export interface DeploymentLoad {
    /** Average share of all slots that is busy. */
    readonly load: number;
    readonly serviceMillis: number;
    readonly deadlineMillis?: number;
    readonly endFactor?: number;
    readonly isReadOnly?: boolean;
    readonly answerBytes?: number;
}

/** Creates read and write streams of every service from every region, at a share of the capacity of the slots. */
export function makeDeploymentStreams(deployment: Deployment, deploymentLoad: DeploymentLoad): readonly LoadStream[] {
    const endFactor = deploymentLoad.endFactor ?? 1;
    return deployment.services.flatMap(each => {
        const capacity = (each.servers * each.slots * 1_000) / deploymentLoad.serviceMillis;
        const perRegion = (capacity * deploymentLoad.load) / deployment.regions.length;
        const writeShare = deploymentLoad.isReadOnly === true ? 0 : each.writeShare;
        return deployment.regions.flatMap(region => {
            const common = {
                region,
                service: each.service,
                answerBytes: deploymentLoad.answerBytes ?? 2_000,
                deadlineMillis: deploymentLoad.deadlineMillis ?? 2_000,
                endFactor
            };
            return [
                {
                    ...common,
                    method: "GET",
                    path: each.readPath,
                    idempotent: true,
                    requestsPerSecond: perRegion * (1 - writeShare),
                    label: `read:${each.service}`
                },
                {
                    ...common,
                    method: "POST",
                    path: each.writePath,
                    idempotent: false,
                    requestsPerSecond: perRegion * writeShare,
                    label: `write:${each.service}`
                }
            ];
        });
    });
}
