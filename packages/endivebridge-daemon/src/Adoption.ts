import { type AssignmentRow, heldSlots } from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import type { Context, ServiceState } from "./Context";

/** Slots of a server taken over from an owner that did not release them itself. */
export interface Adoption {
    readonly slots: number;
    readonly adoptedAtMillis: number;
    /**
     * Requests in flight from other instances, by the server's latest load report since the takeover; undefined before
     * the first such report.
     */
    othersInFlight: number | undefined;
}

/** Adopted slots, keyed by server. */
export type Adoptions = Map<string, Adoption>;

const rampMillisPerSlot = 500;

/** Records which of the newly claimed slots may still be occupied by requests of their previous owner. */
export function recordAdoptions(
    adoptions: Adoptions,
    instance: string,
    before: AssignmentRow,
    after: AssignmentRow,
    nowMillis: number
): void {
    const heldBefore = heldSlots(before, instance);
    for (const [server, slots] of heldSlots(after, instance)) {
        const gainedSlots = slots - (heldBefore.get(server) ?? 0);
        const unreleasedSlots = before.servers[server]?.unreleasedSlots ?? 0;
        const adoptedSlotCount = Math.min(
            gainedSlots,
            Math.max(unreleasedSlots, slotsOfRemovedMembers(before, after, server))
        );
        if (adoptedSlotCount > 0) {
            adoptions.set(server, { slots: adoptedSlotCount, adoptedAtMillis: nowMillis, othersInFlight: undefined });
        }
    }
}

/**
 * Slots of a server that were held by members removed in this change. When one write both expels a member and claims
 * its slots, they never appear as unreleased in a row.
 */
function slotsOfRemovedMembers(before: AssignmentRow, after: AssignmentRow, server: string): number {
    const members = new Set(after.members.map(member => `${member.instance}.${member.incarnation}`));
    const incarnations = new Map(before.members.map(member => [member.instance, member.incarnation]));
    return (before.servers[server]?.holds ?? [])
        .filter(hold => !members.has(`${hold.instance}.${incarnations.get(hold.instance) ?? ""}`))
        .reduce((sum, hold) => sum + hold.slots, 0);
}

/**
 * Adopted slots of a server that must not be used yet: those that other instances' requests still occupy, and those
 * that the ramp of one slot per `rampMillisPerSlot` has not freed. None once the service's maximum deadline has passed.
 */
export function withheldAdoptedSlots(
    context: Context,
    adoptions: Adoptions,
    service: ServiceState,
    server: string
): number {
    const adoption = adoptions.get(server);
    if (adoption === undefined) {
        return 0;
    }
    const definition = context.configuration.read()?.document.services[service.service];
    const elapsedMillis = monotonicMillis() - adoption.adoptedAtMillis;
    if (elapsedMillis > (definition?.maximumDeadlineMillis ?? 0)) {
        adoptions.delete(server);
        return 0;
    }
    const report = context.loadReports.get(server);
    if (report !== undefined && report.requestedAtMillis > adoption.adoptedAtMillis) {
        adoption.othersInFlight = Math.max(0, report.inFlight - report.ownInFlight);
    }
    if (adoption.othersInFlight === undefined) {
        return adoption.slots;
    }
    const rampedSlots = Math.floor(elapsedMillis / rampMillisPerSlot);
    const usableSlots = Math.min(adoption.slots - adoption.othersInFlight, rampedSlots);
    return adoption.slots - Math.max(0, usableSlots);
}
