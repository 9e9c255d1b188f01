import type { Deployment } from "./Deployment";
import type { LoadStream } from "./LoadPlan";

/** How a usual load of a deployment is made. */
export interface DeploymentLoad {
    /** Share of all slots that is busy on average. */
    readonly load: number;
    readonly serviceMillis: number;
    readonly deadlineMillis?: number;
    readonly endFactor?: number;
    readonly readsOnly?: boolean;
    readonly answerBytes?: number;
}

/** Reads and writes of every service from every region at a share of the slots' capacity. */
export function usualStreams(deployment: Deployment, deploymentLoad: DeploymentLoad): readonly LoadStream[] {
    const endFactor = deploymentLoad.endFactor ?? 1;
    return deployment.services.flatMap(each => {
        const capacity = (each.servers * each.slots * 1_000) / deploymentLoad.serviceMillis;
        const perRegion = (capacity * deploymentLoad.load) / deployment.regions.length;
        const writeShare = deploymentLoad.readsOnly === true ? 0 : each.writeShare;
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
