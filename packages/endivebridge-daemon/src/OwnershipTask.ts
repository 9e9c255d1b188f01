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
import { adoptedSlots, type Adoptions, noteAdoptions } from "./Adoption";
import type { AssignmentSnapshot, Context } from "./Context";
import { updateInflowShares } from "./Inflow";
import { leaseMillis } from "./LeaseMillis";
import { runTaskIteration } from "./RunTaskIteration";

const expulsionMarginFactor = 1.1;
const sleepPartsPerInterval = 4;
const fastPollAfterSiblingChangeMillis = 3_000;

/** What the ownership task remembers between its turns. */
interface OwnershipState {
    /** Slots that are being given up, by server: not filled again, released once idle. */
    readonly releasing: Map<string, number>;
    readonly adoptions: Adoptions;
    leaseHeld: boolean;
    /** Whether the last turn found nothing to do. */
    isSettled: boolean;
    /** Monotonic time at which a member was first seen suspected, by instance. */
    readonly suspicionSeenAtMillis: Map<string, number>;
    /** Monotonic time at which a member was first seen at all, by instance. */
    readonly firstSeenAtMillis: Map<string, number>;
}

/** Key of a failure domain's assignment row. */
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

/** Brings the pools in line with the assignment; what is being given up is no longer filled. */
function applyAssignment(context: Context, ownership: OwnershipState): void {
    const row = context.assignment.read()?.row ?? emptyAssignment;
    const ownedSlotsByServer = heldSlots(row, context.settings.instance);
    const listed = new Map(context.instances.read().servers.map(each => [each.instance, each]));
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
                retainedSlots - adoptedSlots(context, ownership.adoptions, service, server)
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
    const own = snapshot.row.members.find(member => member.instance === context.settings.instance);
    if (own?.incarnation === context.incarnation && own.suspectedBy === undefined) {
        context.lease.confirmByRow(sentAtMillis);
    }
    else if (own?.suspectedBy === undefined) {
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

/** Time in milliseconds since a sibling was last heard, counted at most from when it was first seen. */
function millisSinceContact(context: Context, ownership: OwnershipState, instance: string, nowMillis: number): number {
    const firstSeenMillis = ownership.firstSeenAtMillis.get(instance) ?? nowMillis;
    ownership.firstSeenAtMillis.set(instance, firstSeenMillis);
    return nowMillis - Math.max(firstSeenMillis, context.peers.get(instance)?.lastContactAtMillis ?? 0);
}

function suspectOrExpelSiblings(context: Context, ownership: OwnershipState, row: AssignmentRow): AssignmentRow {
    const nowMillis = monotonicMillis();
    let next = row;
    for (const member of row.members.filter(each => each.instance !== context.settings.instance)) {
        const silence = millisSinceContact(context, ownership, member.instance, nowMillis);
        if (member.suspectedBy === undefined) {
            ownership.suspicionSeenAtMillis.delete(member.instance);
            if (silence > leaseMillis(context) / 2) {
                context.log.warn({ member: member.instance, silence }, "sibling suspected");
                context.timeLine.emit({ kind: "siblingSuspected", sibling: member.instance });
                next = suspectMember(next, member.instance, context.settings.instance);
            }
            continue;
        }
        const suspicionSeenMillis = ownership.suspicionSeenAtMillis.get(member.instance) ?? nowMillis;
        ownership.suspicionSeenAtMillis.set(member.instance, suspicionSeenMillis);
        const promisedAtMillis = context.peers.get(member.instance)?.leasePromisedAtMillis ?? 0;
        const expelAfterMillis = leaseMillis(context) * expulsionMarginFactor;
        if (nowMillis - suspicionSeenMillis > expelAfterMillis && nowMillis - promisedAtMillis > expelAfterMillis) {
            context.log.warn({ member: member.instance }, "sibling expelled, its slots are free");
            context.timeLine.emit({ kind: "siblingExpelled", sibling: member.instance });
            next = expelMember(next, member.instance);
        }
    }
    return next;
}

/** Slots given up that no request fills any more. */
function releasableSlots(context: Context, ownership: OwnershipState, row: AssignmentRow): readonly SlotChange[] {
    const ownedSlotsByServer = heldSlots(row, context.settings.instance);
    return [...ownership.releasing].flatMap(([server, slots]) => {
        const service = row.servers[server]?.service ?? "";
        const remainingSlots = (ownedSlotsByServer.get(server) ?? 0) - slots;
        return inFlightOnServer(context, service, server) <= remainingSlots ? [{ server, slots }] : [];
    });
}

/** The row as this instance would have it now. */
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
        // Without the platform the lease is extended after each failed read, so these must follow closely.
        ownership.isSettled = false;
        const snapshot = yield* readAssignment(context);
        const next = planRow(context, ownership, snapshot.row);
        const changed = JSON.stringify(next) !== JSON.stringify(snapshot.row);
        ownership.isSettled = !changed && ownsAnySlots(context, next);
        if (changed) {
            const written = yield* writeAssignment(context, snapshot, next);
            if (written) {
                noteAdoptions(ownership.adoptions, context.settings.instance, snapshot.row, next, monotonicMillis());
                ownership.releasing.clear();
            }
        }
    });

/** Tells the time line where the lease was lost or came back. */
function emitLeaseChange(context: Context, ownership: OwnershipState): void {
    const held = context.lease.holds(monotonicMillis());
    if (held !== ownership.leaseHeld) {
        ownership.leaseHeld = held;
        context.timeLine.emit({ kind: held ? "leaseHeld" : "leaseLapsed" });
    }
}

/** Whether nothing of this instance's share is missing; while a sibling has yet to release it, turns come sooner. */
function ownsAnySlots(context: Context, row: AssignmentRow): boolean {
    return heldSlots(row, context.settings.instance).size > 0;
}

/** Extends the lease without the platform, from siblings' promises or from isolation. */
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

/** Pauses between turns; while slots have to move the pauses are short. */
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

/** Keeps this instance's share of its failure domain's slots until interrupted. */
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

/** Gives every slot back; called once nothing of this instance runs any more. */
export const releaseOwnership = (context: Context): Effect.Effect<void, PlatformFailure> =>
    Effect.gen(function*() {
        for (let attempt = 0; attempt < 5; attempt += 1) {
            const snapshot = yield* readAssignment(context);
            if (yield* writeAssignment(context, snapshot, leaveAssignment(snapshot.row, context.settings.instance))) {
                return;
            }
        }
    });
