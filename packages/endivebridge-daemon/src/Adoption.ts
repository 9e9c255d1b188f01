import { type AssignmentRow, heldSlots } from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import type { Context, ServiceState } from "./Context";

/** Slots taken over from an owner that did not release them itself. */
export interface Adoption {
    readonly slots: number;
    readonly adoptedAtMillis: number;
    /** Requests that the server reported since, beyond this instance's own; undefined before a report. */
    reportedOthers: number | undefined;
}

/** Adoptions by server. */
export type Adoptions = Map<string, Adoption>;

const rampMillisPerSlot = 500;

/** Remembers which of the slots just claimed may still be filled by their last owner's requests. */
export function noteAdoptions(
    adoptions: Adoptions,
    instance: string,
    before: AssignmentRow,
    after: AssignmentRow,
    nowMillis: number
): void {
    const heldBefore = heldSlots(before, instance);
    for (const [server, slots] of heldSlots(after, instance)) {
        const gained = slots - (heldBefore.get(server) ?? 0);
        const unreleased = before.servers[server]?.unreleasedSlots ?? 0;
        const adopted = Math.min(gained, Math.max(unreleased, unreleasedInStep(before, after, server)));
        if (adopted > 0) {
            adoptions.set(server, { slots: adopted, adoptedAtMillis: nowMillis, reportedOthers: undefined });
        }
    }
}

/** An expulsion and a claim may come in one write: then the slots never stand as unreleased in a row. */
function unreleasedInStep(before: AssignmentRow, after: AssignmentRow, server: string): number {
    const members = new Set(after.members.map(member => `${member.instance}.${member.incarnation}`));
    const incarnations = new Map(before.members.map(member => [member.instance, member.incarnation]));
    return (before.servers[server]?.holds ?? [])
        .filter(hold => !members.has(`${hold.instance}.${incarnations.get(hold.instance) ?? ""}`))
        .reduce((sum, hold) => sum + hold.slots, 0);
}

/** Adopted slots of a server that must not be filled yet. */
export function adoptedSlots(context: Context, adoptions: Adoptions, service: ServiceState, server: string): number {
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
    const report = context.reports.get(server);
    if (report !== undefined && report.sentAtMillis > adoption.adoptedAtMillis) {
        adoption.reportedOthers = Math.max(0, report.inFlight - report.ownInFlight);
    }
    if (adoption.reportedOthers === undefined) {
        return adoption.slots;
    }
    const ramped = Math.floor(elapsedMillis / rampMillisPerSlot);
    const usable = Math.min(adoption.slots - adoption.reportedOthers, ramped);
    return adoption.slots - Math.max(0, usable);
}
