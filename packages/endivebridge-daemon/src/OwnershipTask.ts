import {
    Assignment,
    type AssignmentRow,
    claimSlots,
    emptyAssignment,
    expelMember,
    heldSlots,
    joinAssignment,
    leaveAssignment,
    planOwnership,
    reconcileServers,
    refuteSuspicion,
    releaseSlots,
    type SlotChange,
    suspectMember
} from "@endivebridge/core";
import type { PlatformFailure } from "@endivebridge/platform";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect, Result, Schema } from "effect";
import { type Adoptions, recordAdoptions, withheldAdoptedSlots } from "./Adoption";
import type { AssignmentSnapshot, Context } from "./Context";
import { updateInflowShares } from "./Inflow";
import { leaseMillis } from "./LeaseMillis";
import { runTaskIteration } from "./RunTaskIteration";

const expulsionMarginFactor = 1.1;
const sleepPartsPerInterval = 4;
const fastPollAfterSiblingChangeMillis = 3_000;

/** State that the ownership task keeps between iterations. */
interface OwnershipState {
    /** Number of slots to release, by server; they get no new requests and are released once idle. */
    readonly releasing: Map<string, number>;
    readonly adoptions: Adoptions;
    leaseHeld: boolean;
    /** Whether the last iteration left the row unchanged and this instance owns slots. */
    isSettled: boolean;
    /** Monotonic time at which this process first saw a member marked as suspected, by instance. */
    readonly suspicionSeenAtMillis: Map<string, number>;
    /** Monotonic time at which this process first saw a member, by instance. */
    readonly firstSeenAtMillis: Map<string, number>;
}

/** Returns the key of a failure domain's assignment row in the platform's table. */
export function assignmentKey(failureDomain: string): string {
    return `assignment/${failureDomain}`;
}

function isServerLive(context: Context, server: string): boolean {
    return context.instances.read().servers.some(listed => listed.instance === server && listed.state === "live");
}

function listOwnServers(context: Context) {
    return context.instances.read().servers
        .filter(listed => listed.failureDomain === context.settings.failureDomain)
        .map(listed => ({ server: listed.instance, service: listed.service, slots: listed.slots }));
}

function inFlightOnServer(context: Context, service: string, server: string): number {
    return context.services.get(service)?.pool.servers().find(owned => owned.server === server)?.inFlight ?? 0;
}

/** Updates the slot pools from the assignment row; slots to be released and adopted slots still in use are left out. */
function applyAssignment(context: Context, ownership: OwnershipState): void {
    const row = context.assignment.read()?.row ?? emptyAssignment;
    const ownedSlotsByServer = heldSlots(row, context.settings.instance);
    const listed = new Map(context.instances.read().servers.map(server => [server.instance, server]));
    updateInflowShares(context);
    for (const service of context.services.values()) {
        const slots = [...ownedSlotsByServer].flatMap(([server, count]) => {
            const entry = listed.get(server);
            if (row.servers[server]?.service !== service.service || entry === undefined) {
                return [];
            }
            const retainedSlots = count - (ownership.releasing.get(server) ?? 0);
            const usableSlots = Math.max(
                0,
                retainedSlots - withheldAdoptedSlots(context, ownership.adoptions, service, server)
            );
            return [{ server, address: entry.address, usableSlots, leaving: entry.state === "leaving" }];
        });
        const usableSlotsBefore = service.pool.usableSlots();
        service.pool.assign(slots);
        const usableSlots = service.pool.usableSlots();
        if (usableSlots !== usableSlotsBefore) {
            const rowVersion = context.assignment.read()?.version ?? 0;
            context.timeLine.emit({ kind: "slotsChanged", service: service.service, usableSlots, rowVersion });
        }
        context.metrics.gauge("owned_slots", service.pool.usableSlots(), { service: service.service });
    }
}

function recordAssignment(context: Context, snapshot: AssignmentSnapshot, sentAtMillis: number): void {
    const current = context.assignment.read();
    if (current === undefined || snapshot.version > current.version) {
        context.assignment.update(() => snapshot);
    }
    const ownMember = snapshot.row.members.find(member => member.instance === context.settings.instance);
    if (ownMember?.incarnation === context.incarnation && ownMember.suspectedBy === undefined) {
        context.lease.confirmByRow(sentAtMillis);
    }
    else if (ownMember?.suspectedBy === undefined) {
        context.lease.revoke();
    }
}

function decodeRow(value: unknown): AssignmentRow {
    return Schema.decodeUnknownSync(Assignment)(value);
}

const readAssignment = (context: Context): Effect.Effect<AssignmentSnapshot, PlatformFailure> =>
    Effect.gen(function*() {
        const sentAtMillis = monotonicMillis();
        const storedRow = yield* context.platform.readRow(assignmentKey(context.settings.failureDomain));
        const snapshot = {
            version: storedRow?.version ?? 0,
            row: storedRow === undefined ? emptyAssignment : decodeRow(storedRow.value)
        };
        recordAssignment(context, snapshot, sentAtMillis);
        return snapshot;
    });

/**
 * Returns the time in milliseconds since the last contact with a sibling, or since this process first saw it as a
 * member if that is later.
 */
function millisSinceContact(context: Context, ownership: OwnershipState, instance: string, nowMillis: number): number {
    const firstSeenMillis = ownership.firstSeenAtMillis.get(instance) ?? nowMillis;
    ownership.firstSeenAtMillis.set(instance, firstSeenMillis);
    return nowMillis - Math.max(firstSeenMillis, context.peers.get(instance)?.lastContactAtMillis ?? 0);
}

function suspectOrExpelSiblings(context: Context, ownership: OwnershipState, row: AssignmentRow): AssignmentRow {
    const nowMillis = monotonicMillis();
    let updatedRow = row;
    for (const member of row.members.filter(candidate => candidate.instance !== context.settings.instance)) {
        const silence = millisSinceContact(context, ownership, member.instance, nowMillis);
        if (member.suspectedBy === undefined) {
            ownership.suspicionSeenAtMillis.delete(member.instance);
            if (silence > leaseMillis(context) / 2) {
                context.log.warn(
                    { member: member.instance, silence },
                    "no contact with sibling for half a lease; marked as suspected"
                );
                context.timeLine.emit({ kind: "siblingSuspected", sibling: member.instance });
                updatedRow = suspectMember(updatedRow, member.instance, context.settings.instance);
            }
            continue;
        }
        const suspicionSeenMillis = ownership.suspicionSeenAtMillis.get(member.instance) ?? nowMillis;
        ownership.suspicionSeenAtMillis.set(member.instance, suspicionSeenMillis);
        const promisedAtMillis = context.peers.get(member.instance)?.leasePromisedAtMillis ?? 0;
        const expelAfterMillis = leaseMillis(context) * expulsionMarginFactor;
        if (nowMillis - suspicionSeenMillis > expelAfterMillis && nowMillis - promisedAtMillis > expelAfterMillis) {
            context.log.warn({ member: member.instance }, "suspected sibling expelled; its slots can be claimed");
            context.timeLine.emit({ kind: "siblingExpelled", sibling: member.instance });
            updatedRow = expelMember(updatedRow, member.instance);
        }
    }
    return updatedRow;
}

/** Returns the slots marked for release on servers whose requests in flight fit into the remaining slots. */
function releasableSlots(context: Context, ownership: OwnershipState, row: AssignmentRow): readonly SlotChange[] {
    const ownedSlotsByServer = heldSlots(row, context.settings.instance);
    return [...ownership.releasing].flatMap(([server, slots]) => {
        const service = row.servers[server]?.service ?? "";
        const remainingSlots = (ownedSlotsByServer.get(server) ?? 0) - slots;
        return inFlightOnServer(context, service, server) <= remainingSlots ? [{ server, slots }] : [];
    });
}

/**
 * Computes the assignment row that this instance wants to write next: joins, refutes a suspicion against itself,
 * suspects or expels silent siblings, and releases and claims slots.
 */
function planRow(context: Context, ownership: OwnershipState, row: AssignmentRow): AssignmentRow {
    const { instance } = context.settings;
    const joined = refuteIfSuspected(joinAssignment(row, instance, context.incarnation), instance);
    const checked = suspectOrExpelSiblings(context, ownership, reconcileServers(joined, listOwnServers(context)));
    const plan = planOwnership(checked, instance, server => isServerLive(context, server));
    ownership.releasing.clear();
    plan.release.forEach(change => ownership.releasing.set(change.server, change.slots));
    applyAssignment(context, ownership);
    const released = releaseSlots(checked, instance, releasableSlots(context, ownership, checked));
    return claimSlots(released, instance, plan.claim);
}

function refuteIfSuspected(row: AssignmentRow, instance: string): AssignmentRow {
    const suspected = row.members.some(member => member.instance === instance && member.suspectedBy !== undefined);
    return suspected ? refuteSuspicion(row, instance) : row;
}

const writeAssignment = (context: Context, snapshot: AssignmentSnapshot, row: AssignmentRow) =>
    Effect.gen(function*() {
        const sentAtMillis = monotonicMillis();
        const key = assignmentKey(context.settings.failureDomain);
        const written = yield* Effect.result(context.platform.writeRow(key, snapshot.version, row));
        if (Result.isSuccess(written)) {
            recordAssignment(
                context,
                { version: written.success.version, row: decodeRow(written.success.value) },
                sentAtMillis
            );
            return true;
        }
        if (written.failure.kind === "conflict" && written.failure.row !== undefined) {
            recordAssignment(
                context,
                { version: written.failure.row.version, row: decodeRow(written.failure.row.value) },
                sentAtMillis
            );
        }
        return false;
    });

const reconcileOwnership = (context: Context, ownership: OwnershipState) =>
    Effect.gen(function*() {
        // While the platform is unreachable the lease is extended only after a failed read, so reads must repeat at the
        // short interval: the state counts as unsettled unless this iteration succeeds.
        ownership.isSettled = false;
        const snapshot = yield* readAssignment(context);
        const plannedRow = planRow(context, ownership, snapshot.row);
        const changed = JSON.stringify(plannedRow) !== JSON.stringify(snapshot.row);
        ownership.isSettled = !changed && ownsAnySlots(context, plannedRow);
        if (changed) {
            const written = yield* writeAssignment(context, snapshot, plannedRow);
            if (written) {
                recordAdoptions(
                    ownership.adoptions,
                    context.settings.instance,
                    snapshot.row,
                    plannedRow,
                    monotonicMillis()
                );
                ownership.releasing.clear();
            }
        }
    });

/** Emits a time line event when the lease lapses or is held again. */
function emitLeaseChange(context: Context, ownership: OwnershipState): void {
    const held = context.lease.holds(monotonicMillis());
    if (held !== ownership.leaseHeld) {
        ownership.leaseHeld = held;
        context.timeLine.emit({ kind: held ? "leaseHeld" : "leaseLapsed" });
    }
}

/**
 * Checks whether this instance owns any slots. While it owns none, for example because a sibling has not released them
 * yet, the task polls at the short interval.
 */
function ownsAnySlots(context: Context, row: AssignmentRow): boolean {
    return heldSlots(row, context.settings.instance).size > 0;
}

/** Extends the lease while the platform is unreachable, from siblings' promises or because they are unreachable too. */
function extendLeaseWithoutPlatform(context: Context): void {
    const members = context.assignment.read()?.row.members ?? [];
    const siblings = members
        .filter(member => member.instance !== context.settings.instance && member.suspectedBy === undefined)
        .map(member => member.instance);
    context.lease.evaluate({
        nowMillis: monotonicMillis(),
        siblings,
        platformFailedSinceMillis: context.platform.lastFailedAttemptMillis(),
        isUnreachable: sibling => context.peers.get(sibling)?.failing ?? true
    });
}

/** Sleeps between iterations; the sleep is short while slots are being redistributed. */
const sleepBetweenIterations = (context: Context, ownership: OwnershipState): Effect.Effect<void> =>
    Effect.gen(function*() {
        const fullIntervalMillis = context.settings.timing.assignmentMillis * (0.9 + Math.random() * 0.2);
        for (let part = 0; part < sleepPartsPerInterval; part += 1) {
            yield* Effect.sleep(fullIntervalMillis / sleepPartsPerInterval);
            const sinceChangeMillis = monotonicMillis() - context.siblingsChangedAtMillis.current;
            if (!ownership.isSettled || sinceChangeMillis < fastPollAfterSiblingChangeMillis) {
                return;
            }
        }
    });

/** Maintains this instance's share of its failure domain's slots, and its lease on them, until interrupted. */
export const ownershipTask = (context: Context): Effect.Effect<never> =>
    Effect.gen(function*() {
        const ownership: OwnershipState = {
            releasing: new Map(),
            adoptions: new Map(),
            leaseHeld: false,
            isSettled: false,
            suspicionSeenAtMillis: new Map(),
            firstSeenAtMillis: new Map()
        };
        for (;;) {
            if (!context.shutdown.read() && context.instances.read().servers.length > 0) {
                yield* runTaskIteration(context, "ownership", reconcileOwnership(context, ownership));
                extendLeaseWithoutPlatform(context);
            }
            applyAssignment(context, ownership);
            emitLeaseChange(context, ownership);
            yield* sleepBetweenIterations(context, ownership);
        }
    });

/** Releases all slots and removes this instance from the assignment row; call it only when no request is in flight. */
export const releaseOwnership = (context: Context): Effect.Effect<void, PlatformFailure> =>
    Effect.gen(function*() {
        for (let attempt = 0; attempt < 5; attempt += 1) {
            const snapshot = yield* readAssignment(context);
            if (yield* writeAssignment(context, snapshot, leaveAssignment(snapshot.row, context.settings.instance))) {
                return;
            }
        }
    });
