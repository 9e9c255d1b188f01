import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { CrashReport } from "@endivebridge/core";
import {
    type HeartbeatRequest,
    HeartbeatRequestSchema,
    type HeartbeatResponseSchema,
    type ServiceLoad,
    type StruckRequest,
    type StruckRequestSchema
} from "@endivebridge/protocol";
import { monotonicMillis } from "@endivebridge/shared";
import type { Context, ServiceState } from "./Context";
import { freeInflow } from "./Inflow";
import { leaseMillis } from "./LeaseMillis";
import type { Peer } from "./Peer";
import { ownServiceMillis } from "./ServiceTimes";

/** Builds the load report for one service that this instance sends to its peers. */
export function describeLoad(context: Context, service: ServiceState) {
    return {
        service: service.service,
        freeSlots: context.reachability.isCutOff(service.service) ? 0 : service.pool.freeSlots(),
        ownedSlots: service.pool.usableSlots(),
        waiting: service.pool.waiting(),
        setAsideSlots: service.pool.setAsideSlots(),
        freeInflow: freeInflow(service),
        sourceRates: Object.fromEntries(service.requestRates.rates()),
        serviceMicros: Math.round((ownServiceMillis(service) ?? 0) * 1_000)
    };
}

function encodeCrashReport(
    { fingerprint, crashes, clearedAgeMillis }: CrashReport
): MessageInitShape<typeof StruckRequestSchema> {
    return {
        fingerprint,
        servers: crashes.map(crash => crash.server),
        crashes: crashes.map(({ sentAgeMillis, crashAgeMillis, isIsolated }) => ({
            sentAgeMillis,
            crashAgeMillis,
            isolated: isIsolated
        })),
        clearedAgeMillis
    };
}

/** Decodes a report; instances of earlier versions report quarantined requests only, without times. */
function decodeCrashReport({ fingerprint, servers, crashes, clearedAgeMillis }: StruckRequest): CrashReport {
    return {
        fingerprint,
        crashes: servers.map((server, index) => {
            const details = crashes[index];
            return {
                server,
                sentAgeMillis: details?.sentAgeMillis ?? 0,
                crashAgeMillis: details?.crashAgeMillis ?? 0,
                isIsolated: details?.isolated ?? true
            };
        }),
        clearedAgeMillis
    };
}

/** Builds the heartbeat that this instance sends to its peers. */
export function makeHeartbeat(context: Context): HeartbeatRequest {
    return create(HeartbeatRequestSchema, {
        instance: context.settings.instance,
        incarnation: context.incarnation,
        failureDomain: context.settings.failureDomain,
        configurationVersion: context.configuration.read()?.version ?? 0,
        mintEpoch: context.journal.currentEpoch(),
        leaving: context.shutdown.read(),
        struckRequests: context.crashRecords.nextReports(monotonicMillis()).map(encodeCrashReport),
        assignmentVersion: BigInt(context.assignment.read()?.version ?? 0),
        time: context.timeLine.clock.now(),
        loads: [...context.services.values()].map(service => describeLoad(context, service))
    });
}

/** Stores the load that a peer reported for one service. */
export function recordPeerLoad(peer: Peer, load: ServiceLoad): void {
    peer.loads.set(load.service, {
        freeSlots: load.freeSlots,
        freeInflow: load.freeInflow,
        ownedSlots: load.ownedSlots,
        waiting: load.waiting,
        sourceRates: new Map(Object.entries(load.sourceRates)),
        setAsideSlots: load.setAsideSlots,
        serviceMillis: load.serviceMicros === 0 ? undefined : load.serviceMicros / 1_000
    });
}

/** Updates a peer's state from a heartbeat request that it sent or from its response to one. */
export function recordPeerState(
    context: Context,
    peer: Peer,
    reported: Pick<HeartbeatRequest, "incarnation" | "configurationVersion" | "mintEpoch" | "time">
): void {
    if (reported.time !== undefined) {
        context.timeLine.clock.observe(reported.time);
    }
    if (peer.incarnation !== reported.incarnation) {
        context.timeLine.emit({ kind: "peerHeard", peer: peer.instance, incarnation: reported.incarnation });
        if (peer.failureDomain === context.settings.failureDomain) {
            context.siblingsChangedAtMillis.current = monotonicMillis();
        }
    }
    peer.incarnation = reported.incarnation;
    peer.configurationVersion = reported.configurationVersion;
    peer.mintEpoch = reported.mintEpoch;
    peer.lastContactAtMillis = monotonicMillis();
}

function applyHeartbeat(context: Context, peer: Peer, request: HeartbeatRequest): void {
    peer.leaving = request.leaving;
    const nowMillis = monotonicMillis();
    request.struckRequests.forEach(struck => context.crashRecords.merge(decodeCrashReport(struck), nowMillis));
    for (const load of request.loads) {
        recordPeerLoad(peer, load);
        if (load.freeSlots > 0) {
            context.services.get(load.service)?.pool.redirectWaiters(load.freeSlots);
        }
    }
}

/**
 * Returns the time in milliseconds for which this instance promises not to expel a sibling from the assignment, which
 * extends the sibling's lease. Returns 0, no promise, if the sender is not a known sibling, if the row lists another
 * incarnation of it or marks it as suspected, or if the sender knows only an older version of the row.
 */
function promiseLeaseMillis(context: Context, peer: Peer | undefined, request: HeartbeatRequest): number {
    const assignment = context.assignment.read();
    const member = assignment?.row.members.find(candidate => candidate.instance === request.instance);
    const isSibling = request.failureDomain === context.settings.failureDomain;
    if (peer === undefined || !isSibling || member?.incarnation !== request.incarnation) {
        return 0;
    }
    if (member.suspectedBy !== undefined || BigInt(assignment?.version ?? 0) > request.assignmentVersion) {
        return 0;
    }
    peer.leasePromisedAtMillis = monotonicMillis();
    return Math.round(leaseMillis(context));
}

/** Records a peer's heartbeat and returns the response, with a lease promise for a sibling. */
export function handleHeartbeat(
    context: Context,
    request: HeartbeatRequest
): MessageInitShape<typeof HeartbeatResponseSchema> {
    const peer = context.peers.get(request.instance);
    if (peer !== undefined) {
        recordPeerState(context, peer, request);
        applyHeartbeat(context, peer, request);
    }
    return {
        instance: context.settings.instance,
        incarnation: context.incarnation,
        configurationVersion: context.configuration.read()?.version ?? 0,
        mintEpoch: context.journal.currentEpoch(),
        time: context.timeLine.clock.now(),
        leaseMillis: promiseLeaseMillis(context, peer, request),
        assignmentVersion: BigInt(context.assignment.read()?.version ?? 0)
    };
}
