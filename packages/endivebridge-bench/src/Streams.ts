import type { Deployment } from "./Deployment";
import type { LoadStream } from "./LoadPlan";

/** How a usual load of a deployment is made. */
export interface UsualLoad {
    /** Share of all slots that is busy on average. */
    readonly load: number;
    readonly serviceMillis: number;
    readonly deadlineMillis?: number;
    readonly endFactor?: number;
    readonly readsOnly?: boolean;
    readonly answerBytes?: number;
}

/** Reads and writes of every service from every region at a share of the slots' capacity. */
export function usualStreams(deployment: Deployment, usual: UsualLoad): readonly LoadStream[] {
    const endFactor = usual.endFactor ?? 1;
    return deployment.services.flatMap(each => {
        const capacity = (each.servers * each.slots * 1_000) / usual.serviceMillis;
        const perRegion = (capacity * usual.load) / deployment.regions.length;
        const writeShare = usual.readsOnly === true ? 0 : each.writeShare;
        return deployment.regions.flatMap(region => {
            const common = {
                region,
                service: each.service,
                answerBytes: usual.answerBytes ?? 2_000,
                deadlineMillis: usual.deadlineMillis ?? 2_000,
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
