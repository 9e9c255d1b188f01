import type { Route, Service } from "./Configuration";
import { hashText, mixHashes } from "./Hash";
import type { RegionBalance } from "./RegionBalance";
import type { ServerPool, TrackedServer } from "./ServerPool";
import { coldRank, type WorkEstimates } from "./WorkEstimates";

/** A request that needs a backend server. */
export interface PlacementRequest {
    readonly route: Route;
    readonly service: string;
    /** Hash of the object that the request concerns; undefined where it names none. */
    readonly keyHash: number | undefined;
    /** Servers that this request was already sent to. */
    readonly triedServers: ReadonlySet<string>;
    /** How long the request has waited for a slot, as a share of its objective. */
    readonly waitedShare: number;
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
    readonly balance: RegionBalance;
    /** A number from 0 up to 1; draws a place for requests without a key. */
    readonly random: () => number;
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

/** A failure domain with fewer servers of a service does not keep copies of all keys of its own. */
const leastDomainServers = 4;
/**
 * A request waits this share of its objective before a server of that rank will do. Work where a key is not warm takes
 * several times as long, and pushes out what others rely on: under load, spreading makes every server cold, and the
 * load stays for that reason alone.
 */
const widenAfterShares = [0, 0.25, Infinity, Infinity, Infinity];
/** Draws which keys leave their region independently of the server that they go to. */
const awaySalt = hashText("away");

function unitOf(hash: number): number {
    return (hash + 0.5) / 2 ** 32;
}

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

    /** The cheapest server with room among those that share one rendezvous order. */
    const cheapest = (
        request: PlacementRequest,
        servers: readonly TrackedServer[],
        isException: boolean,
        nowMillis: number
    ): Placed | undefined => {
        // Ranks count busy servers too: a key's order must not change with load.
        const top: Candidate[] = [];
        if (request.keyHash !== undefined) {
            for (const tracked of servers) {
                if (!isUsable(tracked, request, nowMillis)) {
                    continue;
                }
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
            const isRemote = tracked.server.region !== view.region;
            if (!isUsable(tracked, request, nowMillis) || !hasRoom(tracked, isRemote && isException)) {
                continue;
            }
            if (tracked.coldUntilMillis > nowMillis && (isRemote || !canWarmUp(tracked, nowMillis))) {
                continue;
            }
            const found = request.keyHash === undefined ? 0 : top.findIndex(other => other.tracked === tracked);
            const rank = found < 0 ? coldRank : found;
            if (widenAfterShares[rank]! > request.waitedShare) {
                continue;
            }
            const expectedMillis = costMillis(request, tracked, rank, nowMillis);
            if (best === undefined || expectedMillis < best.expectedMillis) {
                best = { tracked, rank, isRemote, expectedMillis };
            }
        }
        return best;
    };

    /** A large failure domain keeps a warm copy of each key of its own; small ones share theirs with the region. */
    const orders = (servers: readonly TrackedServer[]): readonly (readonly TrackedServer[])[] => {
        const domains = new Map<string, TrackedServer[]>();
        for (const tracked of servers) {
            const { failureDomain } = tracked.server;
            const known = domains.get(failureDomain);
            if (known === undefined) {
                domains.set(failureDomain, [tracked]);
            }
            else {
                known.push(tracked);
            }
        }
        const sizes = [...domains.values()].map(domain => domain.length);
        return Math.min(...sizes) >= leastDomainServers ? [...domains.values()] : [servers];
    };

    const cheapestIn = (
        request: PlacementRequest,
        servers: readonly TrackedServer[],
        isException: boolean,
        nowMillis: number
    ): Placed | undefined => {
        let best: Placed | undefined;
        for (const order of servers.length === 0 ? [] : orders(servers)) {
            const placed = cheapest(request, order, isException, nowMillis);
            if (placed !== undefined && (best === undefined || placed.expectedMillis < best.expectedMillis)) {
                best = placed;
            }
        }
        return best;
    };

    /** The region that a request belongs to: mostly the own one, else one by its key, weighted by servers. */
    const homeOf = (request: PlacementRequest, regions: ReadonlyMap<string, readonly TrackedServer[]>): string => {
        const { keyHash } = request;
        const draw = keyHash === undefined ? view.random() : unitOf(mixHashes(keyHash, awaySalt));
        if (regions.has(view.region) && draw >= view.balance.awayShare(request.service)) {
            return view.region;
        }
        let best = view.region;
        let bestWeight = Infinity;
        for (const [region, servers] of regions) {
            const regionDraw = keyHash === undefined
                ? view.random()
                : unitOf(mixHashes(keyHash, hashText(region)));
            const weight = -Math.log(regionDraw) / servers.length;
            if (region !== view.region && weight < bestWeight) {
                best = region;
                bestWeight = weight;
            }
        }
        return best;
    };

    return {
        choose: (request, nowMillis) => {
            const { homeRegions } = request.route;
            const regions = new Map<string, TrackedServer[]>();
            let hasUsable = false;
            for (const tracked of view.pool.ofService(request.service)) {
                const { region } = tracked.server;
                if (
                    tracked.server.isLeaving
                    || view.isEvacuated(tracked.server.failureDomain)
                    || (homeRegions.length > 0 && !homeRegions.includes(region))
                ) {
                    continue;
                }
                const servers = regions.get(region);
                if (servers === undefined) {
                    regions.set(region, [tracked]);
                }
                else {
                    servers.push(tracked);
                }
                hasUsable ||= isUsable(tracked, request, nowMillis);
            }
            if (!hasUsable) {
                return "no servers";
            }
            if (request.isNew) {
                view.balance.countRequest();
            }
            const home = homeOf(request, regions);
            const placed = cheapestIn(request, regions.get(home) ?? [], false, nowMillis);
            if (placed !== undefined) {
                return placed;
            }
            let elsewhere: Placed | undefined;
            for (const [region, servers] of regions) {
                const found = region === home ? undefined : cheapestIn(request, servers, true, nowMillis);
                if (
                    found !== undefined && (elsewhere === undefined || found.expectedMillis < elsewhere.expectedMillis)
                ) {
                    elsewhere = found;
                }
            }
            return elsewhere !== undefined && view.balance.tryExcept() ? elsewhere : "all busy";
        }
    };
}
