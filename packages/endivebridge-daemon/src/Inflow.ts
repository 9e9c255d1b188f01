import { apportion, type AssignmentRow, heldSlots } from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import type { Context, ServiceState } from "./Context";
import type { SteeringRequest } from "./SteeringRequest";

/** Stands for "no cap" where a whole number is sent. */
export const uncapped = 1_000_000;

function slotsOf(row: AssignmentRow, instance: string, service: string): number {
    let slots = 0;
    for (const [server, held] of heldSlots(row, instance)) {
        slots += row.servers[server]?.service === service ? held : 0;
    }
    return slots;
}

/**
 * Requests a second from other regions that fall to this instance: the region's cap, divided over its failure domains
 * and within each over the members by the slots they own. The parts sum to the cap without any message.
 */
function targetShare(context: Context, service: string): number | undefined {
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
    const weights = members.map(instance => slotsOf(row, instance, service));
    return apportion(domainCap, weights, members.indexOf(context.settings.instance));
}

/** Keeps each service's share of the cap; called whenever configuration or assignment may have changed. */
export function updateInflowShares(context: Context): void {
    const nowMillis = monotonicMillis();
    for (const service of context.services.values()) {
        const target = targetShare(context, service.service);
        service.inflowShare.current = target === undefined
            ? undefined
            : service.inflowShare.cautious.update(target, nowMillis);
    }
}

/** Requests from other regions that this instance may still begin in the current second. */
export function freeInflow(service: ServiceState): number {
    const share = service.inflowShare.current;
    return share === undefined ? uncapped : Math.max(0, share - service.inflow.count(monotonicMillis()));
}

function isForeign(context: Context, request: SteeringRequest): boolean {
    return request.sourceRegion !== context.settings.region;
}

/** Whether the cap lets a request run on own slots now. */
export function mayEnter(context: Context, service: ServiceState, request: SteeringRequest): boolean {
    return !isForeign(context, request) || freeInflow(service) > 0;
}

/** Counts a request that got an own slot; false when the cap was reached meanwhile. */
export function enter(context: Context, service: ServiceState, request: SteeringRequest): boolean {
    const share = service.inflowShare.current;
    return !isForeign(context, request)
        || share === undefined
        || service.inflow.tryAdd(monotonicMillis(), share);
}
