import { apportion, type AssignmentRow, heldSlots } from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import type { Context, ServiceState } from "./Context";
import type { SteeringRequest } from "./SteeringRequest";

/** Represents "no cap" in messages whose field must be an integer. */
export const uncappedRequestsPerSecond = 1_000_000;

function countServiceSlots(row: AssignmentRow, instance: string, service: string): number {
    let slots = 0;
    for (const [server, slotsOnServer] of heldSlots(row, instance)) {
        slots += row.servers[server]?.service === service ? slotsOnServer : 0;
    }
    return slots;
}

/**
 * This instance's share of the region's cap on requests per second from other regions. The cap is divided equally over
 * the failure domains, and within each over the members by the slots they own. The shares sum to the cap without any
 * communication.
 */
function computeInflowShare(context: Context, service: string): number | undefined {
    const region = context.configuration.read()?.document.regions[context.settings.region];
    const cap = region?.inflowCapRequestsPerSecond[service];
    if (region === undefined || cap === undefined) {
        return undefined;
    }
    const row = context.assignment.read()?.row;
    if (row === undefined) {
        return 0;
    }
    const domains = [...region.failureDomains].sort();
    const domainCap = apportion(cap, domains.map(() => 1), domains.indexOf(context.settings.failureDomain));
    const members = row.members.map(member => member.instance).sort();
    const weights = members.map(instance => countServiceSlots(row, instance, service));
    return apportion(domainCap, weights, members.indexOf(context.settings.instance));
}

/** Recomputes each service's share of the inflow cap; called whenever configuration or assignment may have changed. */
export function updateInflowShares(context: Context): void {
    const nowMillis = monotonicMillis();
    for (const service of context.services.values()) {
        const target = computeInflowShare(context, service.service);
        service.inflowShare.current = target === undefined
            ? undefined
            : service.inflowShare.cautious.update(target, nowMillis);
    }
}

/** Requests from other regions that this instance may still start in the current second. */
export function freeInflow(service: ServiceState): number {
    const share = service.inflowShare.current;
    return share === undefined
        ? uncappedRequestsPerSecond
        : Math.max(0, share - service.inflowWindow.count(monotonicMillis()));
}

function isFromOtherRegion(context: Context, request: SteeringRequest): boolean {
    return request.sourceRegion !== context.settings.region;
}

/** Whether the inflow cap allows a request on this instance's slots now; requests of the own region always pass. */
export function isWithinInflowCap(context: Context, service: ServiceState, request: SteeringRequest): boolean {
    return !isFromOtherRegion(context, request) || freeInflow(service) > 0;
}

/** Counts a request that acquired a slot against the cap; false when the cap was reached in the meantime. */
export function tryCountInflow(context: Context, service: ServiceState, request: SteeringRequest): boolean {
    const share = service.inflowShare.current;
    return !isFromOtherRegion(context, request)
        || share === undefined
        || service.inflowWindow.tryAdd(monotonicMillis(), share);
}
