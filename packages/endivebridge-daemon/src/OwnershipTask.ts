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
import type { AssignmentSeen, Context } from "./Context";
import { updateInflowShares } from "./Inflow";
import { keepGoing } from "./KeepGoing";
import { leaseMillis } from "./LeaseTime";

const expelMargin = 1.1;
const unsettledFactor = 4;
const movingMillis = 3_000;

/** What the ownership task remembers between its turns. */
interface Ownership {
    /** Slots that are being given up, by server: not filled again, released once idle. */
    readonly giving: Map<string, number>;
    readonly adoptions: Adoptions;
    leaseHeld: boolean;
    /** Whether the last turn found nothing to do. */
    settled: boolean;
    /** Monotonic time at which a member was first seen suspected, by instance. */
    readonly suspectedSinceMillis: Map<string, number>;
    /** Monotonic time at which a member was first seen at all, by instance. */
    readonly memberSinceMillis: Map<string, number>;
}

/** Key of a failure domain's assignment row. */
export function assignmentKey(failureDomain: string): string {
    return `assignment/${failureDomain}`;
}

function isUsable(context: Context, server: string): boolean {
    return context.instances.read().servers.some(listed => listed.instance === server && listed.state === "live");
}

function ownServers(context: Context) {
    return context.instances.read().servers
        .filter(listed => listed.failureDomain === context.settings.failureDomain)
        .map(listed => ({ server: listed.instance, service: listed.service, slots: listed.slots }));
}

function inFlightOf(context: Context, service: string, server: string): number {
    return context.services.get(service)?.pool.servers().find(owned => owned.server === server)?.inFlight ?? 0;
}

/** Brings the pools in line with the assignment; what is being given up is no longer filled. */
function applyAssignment(context: Context, ownership: Ownership): void {
    const row = context.assignment.read()?.row ?? emptyAssignment;
    const held = heldSlots(row, context.settings.instance);
    const listed = new Map(context.instances.read().servers.map(each => [each.instance, each]));
    updateInflowShares(context);
    for (const service of context.services.values()) {
        const slots = [...held].flatMap(([server, count]) => {
            const entry = listed.get(server);
            if (row.servers[server]?.service !== service.service || entry === undefined) {
                return [];
            }
            const kept = count - (ownership.giving.get(server) ?? 0);
            const usableSlots = Math.max(0, kept - adoptedSlots(context, ownership.adoptions, service, server));
            return [{ server, address: entry.address, usableSlots, leaving: entry.state === "leaving" }];
        });
        const before = service.pool.usableSlots();
        service.pool.assign(slots);
        const usableSlots = service.pool.usableSlots();
        if (usableSlots !== before) {
            const rowVersion = context.assignment.read()?.version ?? 0;
            context.timeLine.emit({ kind: "slotsChanged", service: service.service, usableSlots, rowVersion });
        }
        context.metrics.gauge("owned_slots", service.pool.usableSlots(), { service: service.service });
    }
}

function adopt(context: Context, seen: AssignmentSeen, sentAtMillis: number): void {
    const current = context.assignment.read();
    if (current === undefined || seen.version > current.version) {
        context.assignment.update(() => seen);
    }
    const own = seen.row.members.find(member => member.instance === context.settings.instance);
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

const readAssignment = (context: Context): Effect.Effect<AssignmentSeen, PlatformFailure> =>
    Effect.gen(function*() {
        const sentAtMillis = monotonicMillis();
        const read = yield* context.platform.readRow(assignmentKey(context.settings.failureDomain));
        const seen = { version: read?.version ?? 0, row: read === undefined ? emptyAssignment : decodeRow(read.value) };
        adopt(context, seen, sentAtMillis);
        return seen;
    });

/** Time in milliseconds since a sibling was last heard, counted at most from when it was first seen. */
function silenceMillis(context: Context, ownership: Ownership, instance: string, nowMillis: number): number {
    const since = ownership.memberSinceMillis.get(instance) ?? nowMillis;
    ownership.memberSinceMillis.set(instance, since);
    return nowMillis - Math.max(since, context.peers.get(instance)?.heardAtMillis ?? 0);
}

function judgeSiblings(context: Context, ownership: Ownership, row: AssignmentRow): AssignmentRow {
    const nowMillis = monotonicMillis();
    let next = row;
    for (const member of row.members.filter(each => each.instance !== context.settings.instance)) {
        const silence = silenceMillis(context, ownership, member.instance, nowMillis);
        if (member.suspectedBy === undefined) {
            ownership.suspectedSinceMillis.delete(member.instance);
            if (silence > leaseMillis(context) / 2) {
                context.log.warn({ member: member.instance, silence }, "sibling suspected");
                context.timeLine.emit({ kind: "siblingSuspected", sibling: member.instance });
                next = suspectMember(next, member.instance, context.settings.instance);
            }
            continue;
        }
        const since = ownership.suspectedSinceMillis.get(member.instance) ?? nowMillis;
        ownership.suspectedSinceMillis.set(member.instance, since);
        const promisedAtMillis = context.peers.get(member.instance)?.promisedAtMillis ?? 0;
        const waitMillis = leaseMillis(context) * expelMargin;
        if (nowMillis - since > waitMillis && nowMillis - promisedAtMillis > waitMillis) {
            context.log.warn({ member: member.instance }, "sibling expelled, its slots are free");
            context.timeLine.emit({ kind: "siblingExpelled", sibling: member.instance });
            next = expelMember(next, member.instance);
        }
    }
    return next;
}

/** Slots given up that no request fills any more. */
function idleReleases(context: Context, ownership: Ownership, row: AssignmentRow): readonly SlotChange[] {
    const held = heldSlots(row, context.settings.instance);
    return [...ownership.giving].flatMap(([server, slots]) => {
        const service = row.servers[server]?.service ?? "";
        const left = (held.get(server) ?? 0) - slots;
        return inFlightOf(context, service, server) <= left ? [{ server, slots }] : [];
    });
}

/** The row as this instance would have it now. */
function nextRow(context: Context, ownership: Ownership, row: AssignmentRow): AssignmentRow {
    const { instance } = context.settings;
    const joined = refuteIfSuspected(joinAssignment(row, instance, context.incarnation), instance);
    const judged = judgeSiblings(context, ownership, reconcileServers(joined, ownServers(context)));
    const plan = planOwnership(judged, instance, server => isUsable(context, server));
    ownership.giving.clear();
    plan.release.forEach(change => ownership.giving.set(change.server, change.slots));
    applyAssignment(context, ownership);
    const released = releaseSlots(judged, instance, idleReleases(context, ownership, judged));
    return claimSlots(released, instance, plan.claim);
}

function refuteIfSuspected(row: AssignmentRow, instance: string): AssignmentRow {
    const suspected = row.members.some(member => member.instance === instance && member.suspectedBy !== undefined);
    return suspected ? refuteSuspicion(row, instance) : row;
}

const writeAssignment = (context: Context, seen: AssignmentSeen, row: AssignmentRow) =>
    Effect.gen(function*() {
        const sentAtMillis = monotonicMillis();
        const key = assignmentKey(context.settings.failureDomain);
        const written = yield* Effect.result(context.platform.writeRow(key, seen.version, row));
        if (Result.isSuccess(written)) {
            adopt(context, { version: written.success.version, row: decodeRow(written.success.value) }, sentAtMillis);
            return true;
        }
        if (written.failure.kind === "conflict" && written.failure.row !== undefined) {
            adopt(
                context,
                { version: written.failure.row.version, row: decodeRow(written.failure.row.value) },
                sentAtMillis
            );
        }
        return false;
    });

const takeTurn = (context: Context, ownership: Ownership) =>
    Effect.gen(function*() {
        // Without the platform the lease is extended after each failed read, so these must follow closely.
        ownership.settled = false;
        const seen = yield* readAssignment(context);
        const next = nextRow(context, ownership, seen.row);
        const changed = JSON.stringify(next) !== JSON.stringify(seen.row);
        ownership.settled = !changed && ownsShare(context, next);
        if (changed) {
            const written = yield* writeAssignment(context, seen, next);
            if (written) {
                noteAdoptions(ownership.adoptions, context.settings.instance, seen.row, next, monotonicMillis());
                ownership.giving.clear();
            }
        }
    });

/** Tells the time line where the lease was lost or came back. */
function noteLease(context: Context, ownership: Ownership): void {
    const held = context.lease.holds(monotonicMillis());
    if (held !== ownership.leaseHeld) {
        ownership.leaseHeld = held;
        context.timeLine.emit({ kind: held ? "leaseHeld" : "leaseLapsed" });
    }
}

/** Whether nothing of this instance's share is missing; while a sibling has yet to release it, turns come sooner. */
function ownsShare(context: Context, row: AssignmentRow): boolean {
    return heldSlots(row, context.settings.instance).size > 0;
}

/** Extends the lease without the platform, from siblings' promises or from isolation. */
function evaluateLease(context: Context): void {
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
const pauseBetweenTurns = (context: Context, ownership: Ownership): Effect.Effect<void> =>
    Effect.gen(function*() {
        const wholeMillis = context.settings.timing.assignmentMillis * (0.9 + Math.random() * 0.2);
        for (let part = 0; part < unsettledFactor; part += 1) {
            yield* Effect.sleep(wholeMillis / unsettledFactor);
            const sinceChangeMillis = monotonicMillis() - context.siblingsChangedAtMillis.current;
            if (!ownership.settled || sinceChangeMillis < movingMillis) {
                return;
            }
        }
    });

/** Keeps this instance's share of its failure domain's slots until interrupted. */
export const ownershipTask = (context: Context): Effect.Effect<never> =>
    Effect.gen(function*() {
        const ownership: Ownership = {
            giving: new Map(),
            adoptions: new Map(),
            leaseHeld: false,
            settled: false,
            suspectedSinceMillis: new Map(),
            memberSinceMillis: new Map()
        };
        for (;;) {
            if (!context.shutdown.read() && context.instances.read().servers.length > 0) {
                yield* keepGoing(context, "ownership", takeTurn(context, ownership));
                evaluateLease(context);
            }
            applyAssignment(context, ownership);
            noteLease(context, ownership);
            yield* pauseBetweenTurns(context, ownership);
        }
    });

/** Gives every slot back; called once nothing of this instance runs any more. */
export const leaveOwnership = (context: Context): Effect.Effect<void, PlatformFailure> =>
    Effect.gen(function*() {
        for (let attempt = 0; attempt < 5; attempt += 1) {
            const seen = yield* readAssignment(context);
            if (yield* writeAssignment(context, seen, leaveAssignment(seen.row, context.settings.instance))) {
                return;
            }
        }
    });
