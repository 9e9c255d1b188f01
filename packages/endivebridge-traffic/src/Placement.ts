import type { Route, Service } from "./Configuration";
import { mixHashes } from "./Hash";
import type { ServerPool, TrackedServer } from "./ServerPool";
import type { ShiftLimit } from "./ShiftLimit";
import { coldRank, type WorkEstimates } from "./WorkEstimates";

/** A request that needs a backend server. */
export interface PlacementRequest {
    readonly route: Route;
    readonly service: string;
    /** Hash of the object that the request concerns; undefined where it names none. */
    readonly keyHash: number | undefined;
    /** Servers that this request was already sent to. */
    readonly triedServers: ReadonlySet<string>;
    /** False once the request has been looked at, so that it counts once in the share that leaves the region. */
    readonly isNew: boolean;
}

/** A backend server chosen for a request. */
export interface Placed {
    readonly tracked: TrackedServer;
    /** The server's place in the key's rendezvous order within its failure domain; 0 is most likely warm. */
    readonly rank: number;
    readonly isRemote: boolean;
    readonly expectedMillis: number;
}

/** Why no server was chosen. */
export type Unplaced = "no servers" | "all busy";

/** Where the instance is, and what it believes of the rest at this moment. */
export interface PlacementView {
    readonly failureDomain: string;
    readonly region: string;
    readonly pool: ServerPool;
    readonly service: (name: string) => Service | undefined;
    readonly isEvacuated: (failureDomain: string) => boolean;
    /** Round trip to a region other than the own one. */
    readonly roundTripMillis: (region: string) => number;
    /** Instances that share the rate of a cold server in the failure domain; 0 where this one may not use it. */
    readonly coldSharers: (failureDomain: string) => number;
    readonly estimates: WorkEstimates;
    readonly shift: ShiftLimit;
}

/** Chooses backend servers. */
export interface Placement {
    readonly choose: (request: PlacementRequest, nowMillis: number) => Placed | Unplaced;
}

/** How much a round trip to the region's other failure domains counts, beyond its length, since its bytes are scarce. */
const otherDomainMillis = 8;
/** A cold server needs about twice as long. */
const coldFactor = 2;
/** A server's own word on its slowness is worth half after this time. */
const slownessHalfLifeMillis = 300;
/** Slots of a remote server that stay free for callers of its own region, whose news arrives late. */
const remoteReservedSlots = 1;

/** Slowness as far as it can still be relied on. */
export function currentSlowness(tracked: TrackedServer, nowMillis: number): number {
    const ageMillis = Math.max(0, nowMillis - tracked.slownessAtMillis);
    return 1 + (tracked.slowness - 1) * 2 ** (-ageMillis / slownessHalfLifeMillis);
}

interface Candidate {
    readonly tracked: TrackedServer;
    readonly weight: number;
}

/**
 * Makes the placement of one instance. The load it answers: more work than the warm servers of a key can take, in a
 * region that may have fewer servers than its callers need. Work waits at instances, never inside servers, so a server
 * whose slots are taken is not chosen; keys keep to few servers of each failure domain, the same from every instance.
 */
export function makePlacement(view: PlacementView): Placement {
    const isUsable = (tracked: TrackedServer, request: PlacementRequest, nowMillis: number): boolean =>
        !tracked.server.isLeaving
        && !view.isEvacuated(tracked.server.failureDomain)
        && !request.triedServers.has(tracked.server.id)
        && tracked.avoidUntilMillis <= nowMillis;

    const hasRoom = (tracked: TrackedServer, isRemote: boolean): boolean => {
        const slots = Math.max(1, tracked.server.slots - (isRemote ? remoteReservedSlots : 0));
        // After failed connections one request at a time finds out whether the server is back.
        const limit = tracked.failedConnections > 0 ? 1 : slots;
        return tracked.ownInFlight + tracked.peersInFlight < limit;
    };

    const canWarmUp = (tracked: TrackedServer, nowMillis: number): boolean => {
        const sharers = view.coldSharers(tracked.server.failureDomain);
        const rate = view.service(tracked.server.service)?.coldRequestsPerSecond ?? 0;
        return sharers > 0 && tracked.coldLimit.canTake(rate / sharers, nowMillis);
    };

    const costMillis = (request: PlacementRequest, tracked: TrackedServer, rank: number, nowMillis: number): number => {
        const slowness = currentSlowness(tracked, nowMillis);
        const workMillis = view.estimates.estimateMillis(request.route, rank)
            * slowness
            * (tracked.coldUntilMillis > nowMillis ? coldFactor : 1);
        const { region, failureDomain, slots } = tracked.server;
        const distanceMillis = region !== view.region
            ? view.roundTripMillis(region)
            : failureDomain !== view.failureDomain
            ? otherDomainMillis
            : 0;
        const busyShare = (tracked.ownInFlight + tracked.peersInFlight) / slots;
        return workMillis * (1 + 2 * tracked.failureShare + 0.1 * busyShare) + distanceMillis;
    };

    /** The cheapest server with room among those of one failure domain. */
    const cheapest = (
        request: PlacementRequest,
        servers: readonly TrackedServer[],
        isRemote: boolean,
        nowMillis: number
    ): Placed | undefined => {
        // Ranks count all servers, also busy ones: a key's order must not change with load.
        const top: Candidate[] = [];
        if (request.keyHash !== undefined) {
            for (const tracked of servers) {
                const weight = mixHashes(tracked.hash, request.keyHash);
                if (top.length < coldRank || weight > top[top.length - 1]!.weight) {
                    const position = top.findIndex(other => other.weight < weight);
                    top.splice(position < 0 ? top.length : position, 0, { tracked, weight });
                    top.length = Math.min(top.length, coldRank);
                }
            }
        }
        let best: Placed | undefined;
        for (const tracked of servers) {
            if (!isUsable(tracked, request, nowMillis) || !hasRoom(tracked, isRemote)) {
                continue;
            }
            if (tracked.coldUntilMillis > nowMillis && (isRemote || !canWarmUp(tracked, nowMillis))) {
                continue;
            }
            const found = request.keyHash === undefined ? 0 : top.findIndex(other => other.tracked === tracked);
            const rank = found < 0 ? coldRank : found;
            const expectedMillis = costMillis(request, tracked, rank, nowMillis);
            if (best === undefined || expectedMillis < best.expectedMillis) {
                best = { tracked, rank, isRemote, expectedMillis };
            }
        }
        return best;
    };

    const cheapestOf = (
        request: PlacementRequest,
        domains: ReadonlyMap<string, readonly TrackedServer[]>,
        isRemote: boolean,
        nowMillis: number
    ): Placed | undefined => {
        let best: Placed | undefined;
        for (const servers of domains.values()) {
            const placed = cheapest(request, servers, isRemote, nowMillis);
            if (placed !== undefined && (best === undefined || placed.expectedMillis < best.expectedMillis)) {
                best = placed;
            }
        }
        return best;
    };

    return {
        choose: (request, nowMillis) => {
            const { homeRegions } = request.route;
            const own = new Map<string, TrackedServer[]>();
            const remote = new Map<string, TrackedServer[]>();
            let hasUsableOwn = false;
            let hasUsable = false;
            for (const tracked of view.pool.ofService(request.service)) {
                const { region, failureDomain } = tracked.server;
                if (homeRegions.length > 0 && !homeRegions.includes(region)) {
                    continue;
                }
                const domains = region === view.region ? own : remote;
                const servers = domains.get(failureDomain);
                if (servers === undefined) {
                    domains.set(failureDomain, [tracked]);
                }
                else {
                    servers.push(tracked);
                }
                const usable = isUsable(tracked, request, nowMillis);
                hasUsable ||= usable;
                hasUsableOwn ||= usable && region === view.region;
            }
            if (!hasUsable) {
                return "no servers";
            }
            const local = cheapestOf(request, own, false, nowMillis);
            const away = local === undefined ? cheapestOf(request, remote, true, nowMillis) : undefined;
            if (request.isNew) {
                view.shift.countRequest(away !== undefined, nowMillis);
            }
            if (local !== undefined) {
                return local;
            }
            return away !== undefined && (!hasUsableOwn || view.shift.tryLeave()) ? away : "all busy";
        }
    };
}
