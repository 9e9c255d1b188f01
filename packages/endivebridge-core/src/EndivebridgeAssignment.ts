import { Schema } from "effect";

const Member = Schema.Struct({
    instance: Schema.String,
    incarnation: Schema.String,
    /** Sibling that lost contact with this member and expels it unless the member refutes the suspicion. */
    suspectedBy: Schema.optionalKey(Schema.String)
});

const Hold = Schema.Struct({ instance: Schema.String, slots: Schema.Int });

const ServerRow = Schema.Struct({
    service: Schema.String,
    slots: Schema.Int,
    /** Free slots that their last owner did not release itself; its requests may still run on them. */
    unreleasedSlots: Schema.Int,
    holds: Schema.Array(Hold)
});

/** Schema of a failure domain's assignment row: its members and the slots that each member owns. */
export const Assignment = Schema.Struct({
    members: Schema.Array(Member),
    servers: Schema.Record(Schema.String, ServerRow)
});

/** Decoded assignment row of a failure domain. */
export type AssignmentRow = typeof Assignment.Type;

/** Entry instance that is a member of a failure domain, with the suspicion against it if any. */
export type AssignmentMember = typeof Member.Type;

/** Ownership of one backend server's slots. */
export type AssignedServer = typeof ServerRow.Type;

/** A backend server as the platform lists it. */
export interface ListedServer {
    readonly server: string;
    readonly service: string;
    readonly slots: number;
}

/** The assignment of a failure domain that has no members yet. */
export const emptyAssignment: AssignmentRow = { members: [], servers: {} };

function heldBy(server: AssignedServer, instance: string): number {
    return server.holds.find(hold => hold.instance === instance)?.slots ?? 0;
}

/** Slots of a server that no member owns. */
export function unownedSlots(server: AssignedServer): number {
    return server.slots - server.holds.reduce((sum, hold) => sum + hold.slots, 0);
}

/** Slots that one instance owns, by server. */
export function heldSlots(row: AssignmentRow, instance: string): ReadonlyMap<string, number> {
    const held = new Map<string, number>();
    for (const [server, assigned] of Object.entries(row.servers)) {
        const slots = heldBy(assigned, instance);
        if (slots > 0) {
            held.set(server, slots);
        }
    }
    return held;
}

function replaceHold(server: AssignedServer, instance: string, slots: number): AssignedServer {
    const others = server.holds.filter(hold => hold.instance !== instance);
    return { ...server, holds: slots > 0 ? [...others, { instance, slots }] : others };
}

function mapServers(
    row: AssignmentRow,
    transform: (server: AssignedServer, name: string) => AssignedServer
): AssignmentRow {
    const entries = Object.entries(row.servers).map(([name, server]) => [name, transform(server, name)] as const);
    return { ...row, servers: Object.fromEntries(entries) };
}

/** Frees all slots of an instance and counts them as unreleased, since their owner did not release them. */
function freeWithoutRelease(row: AssignmentRow, instance: string): AssignmentRow {
    return mapServers(row, server => {
        const slots = heldBy(server, instance);
        return { ...replaceHold(server, instance, 0), unreleasedSlots: server.unreleasedSlots + slots };
    });
}

/** Adds a member; slots held by an earlier incarnation of it become free and count as unreleased. */
export function joinAssignment(row: AssignmentRow, instance: string, incarnation: string): AssignmentRow {
    const known = row.members.find(member => member.instance === instance);
    if (known?.incarnation === incarnation) {
        return row;
    }
    const freed = freeWithoutRelease(row, instance);
    const others = freed.members.filter(member => member.instance !== instance);
    return { ...freed, members: [...others, { instance, incarnation }] };
}

/** Removes a member that has stopped dispatching; its slots count as released. */
export function leaveAssignment(row: AssignmentRow, instance: string): AssignmentRow {
    const released = mapServers(row, server => replaceHold(server, instance, 0));
    return { ...released, members: released.members.filter(member => member.instance !== instance) };
}

/** Marks a member as suspected by a sibling that lost contact with it. */
export function suspectMember(row: AssignmentRow, instance: string, suspectedBy: string): AssignmentRow {
    return {
        ...row,
        members: row.members.map(member => member.instance === instance ? { ...member, suspectedBy } : member)
    };
}

/** Clears the suspicion against a member. */
export function refuteSuspicion(row: AssignmentRow, instance: string): AssignmentRow {
    return {
        ...row,
        members: row.members.map(member =>
            member.instance === instance ? { instance, incarnation: member.incarnation } : member
        )
    };
}

/** Removes a member whose lease has lapsed; its slots become free and count as unreleased. */
export function expelMember(row: AssignmentRow, instance: string): AssignmentRow {
    const freed = freeWithoutRelease(row, instance);
    return { ...freed, members: freed.members.filter(member => member.instance !== instance) };
}

/** Updates the row's servers from the platform's list; an unlisted server is removed once no member holds its slots. */
export function reconcileServers(row: AssignmentRow, listed: readonly ListedServer[]): AssignmentRow {
    const servers: Record<string, AssignedServer> = {};
    const listedNames = new Set(listed.map(each => each.server));
    for (const { server, service, slots } of listed) {
        const known = row.servers[server];
        servers[server] = known === undefined
            ? { service, slots, unreleasedSlots: 0, holds: [] }
            : { ...known, slots: Math.max(slots, known.slots - unownedSlots(known)) };
    }
    for (const [name, server] of Object.entries(row.servers)) {
        if (!listedNames.has(name) && server.holds.length > 0) {
            servers[name] = server;
        }
    }
    return { ...row, servers };
}

function serviceNames(row: AssignmentRow): readonly string[] {
    return [...new Set(Object.values(row.servers).map(server => server.service))];
}

/** Slots of a service that a member should own: an even share, the remainder to the first by name. */
function slotQuota(
    row: AssignmentRow,
    service: string,
    instance: string,
    isUsable: (server: string) => boolean
): number {
    const members = row.members.filter(member => member.suspectedBy === undefined).map(member => member.instance)
        .sort();
    const rank = members.indexOf(instance);
    if (rank < 0) {
        return 0;
    }
    const total = Object.entries(row.servers)
        .filter(([name, server]) => server.service === service && isUsable(name))
        .reduce((sum, [, server]) => sum + server.slots, 0);
    return Math.floor(total / members.length) + (rank < total % members.length ? 1 : 0);
}

/** Number of one server's slots to release or to claim. */
export interface SlotChange {
    readonly server: string;
    readonly slots: number;
}

/**
 * Releases and claims that bring an instance to its quota, so that all members of its failure domain own their share.
 */
export interface OwnershipPlan {
    readonly release: readonly SlotChange[];
    readonly claim: readonly SlotChange[];
}

function limitSlotChanges(candidates: readonly SlotChange[], maxSlots: number): readonly SlotChange[] {
    let remainingSlots = maxSlots;
    const limited: SlotChange[] = [];
    for (const { server, slots } of candidates) {
        const part = Math.min(remainingSlots, slots);
        if (part > 0) {
            limited.push({ server, slots: part });
            remainingSlots -= part;
        }
    }
    return limited;
}

function planService(
    row: AssignmentRow,
    service: string,
    instance: string,
    isUsable: (server: string) => boolean
): OwnershipPlan {
    const serviceServers = Object.entries(row.servers)
        .filter(([, server]) => server.service === service)
        .sort(([left], [right]) => left < right ? -1 : 1);
    const onLeavingServers = serviceServers
        .filter(([name, server]) => !isUsable(name) && heldBy(server, instance) > 0)
        .map(([name, server]) => ({ server: name, slots: heldBy(server, instance) }));
    const onUsableServers = serviceServers.filter(([name]) => isUsable(name));
    const heldCount = onUsableServers.reduce((sum, [, server]) => sum + heldBy(server, instance), 0);
    const share = slotQuota(row, service, instance, isUsable);
    if (heldCount > share) {
        const candidates = onUsableServers
            .map(([name, server]) => ({ server: name, slots: heldBy(server, instance) }))
            .sort((left, right) => left.slots - right.slots);
        return { release: [...onLeavingServers, ...limitSlotChanges(candidates, heldCount - share)], claim: [] };
    }
    const candidates = onUsableServers
        .map(([name, server]) => ({ server: name, slots: unownedSlots(server) }))
        .sort((left, right) => right.slots - left.slots);
    return { release: onLeavingServers, claim: limitSlotChanges(candidates, share - heldCount) };
}

/** Plans an instance's next releases and claims; `isUsable` is false for a server that is leaving. */
export function planOwnership(
    row: AssignmentRow,
    instance: string,
    isUsable: (server: string) => boolean
): OwnershipPlan {
    const plans = serviceNames(row).map(service => planService(row, service, instance, isUsable));
    return { release: plans.flatMap(plan => plan.release), claim: plans.flatMap(plan => plan.claim) };
}

/** Releases slots that the instance no longer uses. */
export function releaseSlots(row: AssignmentRow, instance: string, releases: readonly SlotChange[]): AssignmentRow {
    const slotsByServer = new Map(releases.map(change => [change.server, change.slots]));
    return mapServers(row, (server, name) => {
        const releasedSlots = slotsByServer.get(name) ?? 0;
        return releasedSlots === 0 ? server : replaceHold(server, instance, heldBy(server, instance) - releasedSlots);
    });
}

/** Assigns free slots to the instance; a claim beyond the free slots is reduced to them. */
export function claimSlots(row: AssignmentRow, instance: string, claims: readonly SlotChange[]): AssignmentRow {
    const slotsByServer = new Map(claims.map(change => [change.server, change.slots]));
    return mapServers(row, (server, name) => {
        const claimedSlots = Math.min(slotsByServer.get(name) ?? 0, unownedSlots(server));
        if (claimedSlots <= 0) {
            return server;
        }
        const claimed = replaceHold(server, instance, heldBy(server, instance) + claimedSlots);
        return { ...claimed, unreleasedSlots: Math.max(0, server.unreleasedSlots - claimedSlots) };
    });
}
