import { monotonicMillis } from "@endivebridge/shared";
import type { Context, ServiceState } from "./Context";
import type { SteeringRequest } from "./SteeringRequest";

/** Requests a second from other regions that this instance may run for a service; undefined without a cap. */
export function inflowShare(context: Context, service: string): number | undefined {
    const configuration = context.configuration.read();
    const region = configuration?.document.regions[context.settings.region];
    const cap = region?.inflowCapRequestsPerSecond[service];
    if (region === undefined || cap === undefined) {
        return undefined;
    }
    const assigned = Object.values(context.assignment.read()?.row.servers ?? {}).filter(each =>
        each.service === service
    );
    const domainSlots = assigned.reduce((sum, server) => sum + server.slots, 0);
    const ownedSlots = context.services.get(service)?.pool.usableSlots() ?? 0;
    return domainSlots === 0 ? 0 : Math.floor((cap / region.failureDomains.length) * (ownedSlots / domainSlots));
}

/** Decides whether a request may run on own slots as far as the cap on inflow goes. */
export function admitInflow(context: Context, service: ServiceState, request: SteeringRequest): boolean {
    if (request.sourceRegion === context.settings.region) {
        return true;
    }
    const share = inflowShare(context, service.service);
    return share === undefined || service.inflow.tryAdd(monotonicMillis(), share);
}
