import type { Route, Service } from "./Configuration";
import { hashText, mixHashes } from "./Hash";
import type { RegionBalance } from "./RegionBalance";
import { type BackendServer, isLeaving, type ServerPool, type TrackedServer } from "./ServerPool";
import type { RateLimit } from "./ServerRateLimit";
import type { ServiceTimeEstimates } from "./ServiceTimeEstimates";

/** A request that needs a backend server. */
export interface PlacementRequest {
    readonly route: Route;
    readonly service: string;
    /** Hash of the request's affinity key; undefined if it has none. */
    readonly keyHash: number | undefined;
    /** Servers that this request was already sent to. */
    readonly triedServers: ReadonlySet<string>;
    /** How long the request has waited for a slot, as a share of its objective. */
    readonly waitedShare: number;
    /** False after the first placement attempt, so that the request counts once towards the share of other regions. */
    readonly isFirstAttempt: boolean;
    /** Latest time to send the request so that its answer still reaches the caller. */
    readonly latestSendMillis: number;
}

/** Backend server chosen for a request, with its expected latency. */
export interface Placed {
    readonly tracked: TrackedServer;
    /** Rank of the server in the key's rendezvous order within its region; rank 0 most likely has a warm cache. */
    readonly rank: number;
    readonly isRemote: boolean;
    readonly expectedMillis: number;
}

/**
 * Reason why no server was chosen: none is usable, none can accept the request now, the rate limits of all of them allow
 * no send before the request's latest send time, or all of them have asked for a pause.
 */
export type Unplaced = "no servers" | "all busy" | "rate limited" | "paused";

/** Location of the instance and its current view of servers, regions and load. */
export interface PlacementView {
    readonly failureDomain: string;
    readonly region: string;
    readonly pool: ServerPool;
    readonly service: (name: string) => Service | undefined;
    readonly isEvacuated: (failureDomain: string) => boolean;
    /** Round-trip time to another region. */
    readonly roundTripMillis: (region: string) => number;
    /** Number of instances that share the rate of a cold server in the failure domain; 0 if this one may not use it. */
    readonly coldRateSharerCount: (failureDomain: string) => number;
    /** Requests per second that this instance may send to a server with the given rate limit. */
    readonly rateLimitShare: (limit: RateLimit, server: BackendServer) => number;
    /** Number of instances in this instance's region, this one included. */
    readonly regionInstanceCount: () => number;
    readonly estimates: ServiceTimeEstimates;
    /** Mean time that a server takes for a request of the service; the same at all instances. */
    readonly usualWorkMillis: (service: string) => number;
    readonly balance: RegionBalance;
    /** Random number in [0, 1) that selects the region of requests without a key. */
    readonly random: () => number;
}

/** Selects the backend server for a request. */
export interface Placement {
    readonly choose: (request: PlacementRequest, nowMillis: number) => Placed | Unplaced;
    /** Whether a server that was chosen before can also receive a hedge of the request. */
    readonly canHedge: (placed: Placed, nowMillis: number) => boolean;
    /** Time until the first server resumes, if all that the route may use have asked for a pause; otherwise 0. */
    readonly pauseMillis: (target: Pick<PlacementRequest, "route" | "service">, nowMillis: number) => number;
    /** Takes a slot and the rate tokens of a server for one send; the slot is released by the caller. */
    readonly reserve: (placed: Placed, nowMillis: number) => void;
}

/** Cost of a round trip to another failure domain of the region; above its duration, since the bandwidth is scarce. */
const otherDomainPenaltyMillis = 8;
/** A cold server takes about twice as long for a request. */
const coldWorkFactor = 2;
/** Half-life of a server's reported slowness. */
const slownessHalfLifeMillis = 300;
/** Slots of a remote server left free for callers of its own region, since reports of its load arrive late. */
const remoteReservedSlots = 1;

/**
 * A key's second server is used once the request has waited this share of its objective for the first. A third is not
 * used while these two are usable: work on a cold cache takes several times as long and evicts keys of others. Under
 * load, spreading keys would make all caches cold, which alone would sustain the overload.
 */
const secondServerWaitShare = 0.25;
/** Weight of a server with a rate limit near 0, which still gets some keys. */
const minKeyWeight = 1 / 32;
/** Weight of a server to which this instance may send nothing; it ranks last for all keys. */
const unusableKeyWeight = 2 ** -30;
/** Interval at which the weights of servers are computed anew. */
const weighIntervalMillis = 500;
/** Limit on the keys per region whose order of servers is cached. */
const maxCachedKeys = 1_000;
/** Salt that makes the keys sent to other regions independent of the choice of server. */
const remoteRegionSalt = hashText("away");

function toUnitInterval(hash: number): number {
    return (hash + 0.5) / 2 ** 32;
}

/** Reported slowness, decayed towards 1 with the age of the report. */
export function currentSlowness(tracked: TrackedServer, nowMillis: number): number {
    const ageMillis = Math.max(0, nowMillis - tracked.slownessAtMillis);
    return 1 + (tracked.slowness - 1) * 2 ** (-ageMillis / slownessHalfLifeMillis);
}

/**
 * Creates the placement of one instance. It addresses more load than the warm servers of a key can take, in a region
 * that may have fewer servers than its callers need. Requests queue at instances, never inside servers, so a server
 * without free slots is not chosen. Each key uses few servers per region, the same from every instance: a copy in each
 * failure domain would take several times as long to warm up, and small domains could not cache all keys.
 */
export function makePlacement(view: PlacementView): Placement {
    const acceptsRequests = (tracked: TrackedServer, nowMillis: number): boolean =>
        !isLeaving(tracked)
        && !view.isEvacuated(tracked.server.failureDomain)
        && tracked.avoidUntilMillis <= nowMillis
        && tracked.pausedUntilMillis <= nowMillis;

    const isUsable = (tracked: TrackedServer, request: PlacementRequest, nowMillis: number): boolean =>
        acceptsRequests(tracked, nowMillis) && !request.triedServers.has(tracked.server.id);

    const hasFreeSlot = (tracked: TrackedServer, isRemote: boolean): boolean => {
        const slots = Math.max(1, tracked.server.slots - (isRemote ? remoteReservedSlots : 0));
        // After failed connections or a pause, one request at a time probes whether the server has recovered.
        const limit = tracked.failedConnections > 0 || tracked.isResuming ? 1 : slots;
        return tracked.ownInFlight + tracked.peersInFlight < limit;
    };

    /**
     * Whether a cold server accepts no request of this instance now. Only instances of the server's failure domain (of
     * its region if the domain has none) warm it up, each at its share of the rate that the server accepts while cold.
     * Until then keys stay on servers with warm caches.
     */
    const isRefusedByColdLimit = (
        { server, coldRateLimiter, coldUntilMillis }: TrackedServer,
        nowMillis: number
    ): boolean => {
        if (coldUntilMillis <= nowMillis) {
            return false;
        }
        const sharers = server.region === view.region ? view.coldRateSharerCount(server.failureDomain) : 0;
        const rate = view.service(server.service)?.coldRequestsPerSecond ?? 0;
        return sharers === 0 || !coldRateLimiter.hasToken(rate / sharers, nowMillis);
    };

    /** Time until this instance may send to a server with a rate limit; 0 for servers without one. */
    const rateLimitWaitMillis = ({ server, rateLimit }: TrackedServer, nowMillis: number): number => {
        const limit = rateLimit.current(nowMillis);
        return limit === undefined ? 0 : rateLimit.waitMillis(view.rateLimitShare(limit, server), nowMillis);
    };

    const costMillis = (request: PlacementRequest, tracked: TrackedServer, rank: number, nowMillis: number): number => {
        const slowness = currentSlowness(tracked, nowMillis);
        const workMillis = view.estimates.estimateMillis(request.route, rank)
            * slowness
            * (tracked.coldUntilMillis > nowMillis ? coldWorkFactor : 1);
        const { region, failureDomain, slots } = tracked.server;
        const distanceMillis = region !== view.region
            ? view.roundTripMillis(region)
            : failureDomain !== view.failureDomain
            ? otherDomainPenaltyMillis
            : 0;
        const busyShare = (tracked.ownInFlight + tracked.peersInFlight) / slots;
        return workMillis * (1 + 2 * tracked.failureShare + 0.1 * busyShare) + distanceMillis;
    };

    const tryPlaceOn = (
        request: PlacementRequest,
        tracked: TrackedServer,
        rank: number,
        isOverflow: boolean,
        nowMillis: number
    ): Placed | undefined => {
        const isRemote = tracked.server.region !== view.region;
        return hasFreeSlot(tracked, isRemote && isOverflow)
            ? { tracked, rank, isRemote, expectedMillis: costMillis(request, tracked, rank, nowMillis) }
            : undefined;
    };

    /**
     * Cheaper of a key's first two servers; a busy server keeps its rank, a rate-limited cold one is left out. If both
     * are at their rate limits, the next server without a limit stands in, the same for the key at every instance.
     */
    const cheapestForKey = (
        request: PlacementRequest,
        keyHash: number,
        region: RegionServers,
        isOverflow: boolean,
        nowMillis: number
    ): Placed | undefined => {
        const order = region.serversOfKey(keyHash);
        const findFrom = (start: number, predicate: (tracked: TrackedServer) => boolean): number => {
            let index = start;
            while (index < order.length && !predicate(order[index]!)) {
                index += 1;
            }
            return index;
        };
        const isEligible = (tracked: TrackedServer) =>
            isUsable(tracked, request, nowMillis) && !isRefusedByColdLimit(tracked, nowMillis);
        const isAtLimit = (tracked: TrackedServer) => rateLimitWaitMillis(tracked, nowMillis) > 0;

        const firstIndex = findFrom(0, isEligible);
        const first = order[firstIndex];
        if (first === undefined) {
            return undefined;
        }
        const isFirstAtLimit = isAtLimit(first);
        const firstPlaced = isFirstAtLimit ? undefined : tryPlaceOn(request, first, 0, isOverflow, nowMillis);
        if (!isFirstAtLimit && request.waitedShare < secondServerWaitShare) {
            return firstPlaced;
        }
        const secondIndex = findFrom(firstIndex + 1, isEligible);
        const second = order[secondIndex];
        if (second !== undefined && !isAtLimit(second)) {
            return cheaperOf(firstPlaced, tryPlaceOn(request, second, 1, isOverflow, nowMillis));
        }
        if (!isFirstAtLimit) {
            return firstPlaced;
        }
        const isOpen = (tracked: TrackedServer) => isEligible(tracked) && !isAtLimit(tracked);
        const hasLimit = ({ rateLimit }: TrackedServer) => rateLimit.current(nowMillis) !== undefined;
        const standIn = order[findFrom(secondIndex + 1, tracked => !hasLimit(tracked) && isOpen(tracked))]
            ?? order[findFrom(secondIndex + 1, isOpen)];
        return standIn === undefined ? undefined : tryPlaceOn(request, standIn, 1, isOverflow, nowMillis);
    };

    const cheapestOfAll = (
        request: PlacementRequest,
        servers: readonly TrackedServer[],
        isOverflow: boolean,
        nowMillis: number
    ): Placed | undefined => {
        let best: Placed | undefined;
        for (const tracked of servers) {
            if (
                isUsable(tracked, request, nowMillis) && !isRefusedByColdLimit(tracked, nowMillis)
                && rateLimitWaitMillis(tracked, nowMillis) === 0
            ) {
                best = cheaperOf(best, tryPlaceOn(request, tracked, 0, isOverflow, nowMillis));
            }
        }
        return best;
    };

    const cheapestIn = (
        request: PlacementRequest,
        region: RegionServers,
        isOverflow: boolean,
        nowMillis: number
    ): Placed | undefined =>
        request.keyHash === undefined
            ? cheapestOfAll(request, region.servers, isOverflow, nowMillis)
            : cheapestForKey(request, request.keyHash, region, isOverflow, nowMillis);

    const layoutCache = new Map<string, CachedLayout>();

    /**
     * Part of the requests that this instance would send to a server without a rate limit which it may send to this one.
     * In steps of a factor of two, so that instances with about the same share use the same weights, and keys stay in
     * place while limits change a little.
     */
    const keyWeight = (
        { server, rateLimit }: TrackedServer,
        usualWorkMillis: number,
        nowMillis: number
    ): number => {
        const limit = rateLimit.current(nowMillis);
        if (limit === undefined) {
            return 1;
        }
        const share = view.rateLimitShare(limit, server);
        if (share === 0) {
            return unusableKeyWeight;
        }
        const usualPerSecond = server.slots * 1_000 / usualWorkMillis / view.regionInstanceCount();
        return 2 ** Math.round(Math.log2(Math.max(minKeyWeight, Math.min(1, share / usualPerSecond))));
    };

    /** Servers of a service grouped by region; cached until the pool's list or a weight changes. */
    const layoutOf = (service: string, nowMillis: number): Layout => {
        const servers = view.pool.ofService(service);
        const cached = layoutCache.get(service);
        if (cached?.servers === servers && nowMillis - cached.weighedAtMillis < weighIntervalMillis) {
            return cached.layout;
        }
        const usualWorkMillis = view.usualWorkMillis(service);
        const weights = servers.map(tracked => keyWeight(tracked, usualWorkMillis, nowMillis));
        const isUnchanged = cached?.servers === servers
            && weights.every((weight, index) => weight === cached.weights[index]);
        const layout = isUnchanged ? cached.layout : makeLayout(servers, weights);
        layoutCache.set(service, { servers, weights, weighedAtMillis: nowMillis, layout });
        return layout;
    };

    /** Region assigned to a request: usually the own one, otherwise one chosen by key and weighted by server count. */
    const chooseTargetRegion = (request: PlacementRequest, regions: readonly RegionServers[]): string => {
        const { keyHash } = request;
        const draw = keyHash === undefined ? view.random() : toUnitInterval(mixHashes(keyHash, remoteRegionSalt));
        const hasOwnRegion = regions.some(({ region }) => region === view.region);
        if (hasOwnRegion && draw >= view.balance.awayShare(request.service)) {
            return view.region;
        }
        let best = view.region;
        let bestWeight = Infinity;
        for (const { region, regionHash, servers } of regions) {
            const regionDraw = keyHash === undefined ? view.random() : toUnitInterval(mixHashes(keyHash, regionHash));
            const weight = -Math.log(regionDraw) / servers.length;
            if (region !== view.region && weight < bestWeight) {
                best = region;
                bestWeight = weight;
            }
        }
        return best;
    };

    const pauseMillis: Placement["pauseMillis"] = ({ route: { homeRegions }, service }, nowMillis) => {
        const resumeMillis = view.pool.ofService(service)
            .filter(tracked =>
                !isLeaving(tracked) && !view.isEvacuated(tracked.server.failureDomain)
                && (homeRegions.length === 0 || homeRegions.includes(tracked.server.region))
            )
            .map(tracked => tracked.pausedUntilMillis);
        return resumeMillis.length === 0 ? 0 : Math.max(0, Math.min(...resumeMillis) - nowMillis);
    };

    return {
        pauseMillis,
        choose: (request, nowMillis) => {
            const { homeRegions } = request.route;
            const regions = layoutOf(request.service, nowMillis).filter(({ region, servers }) =>
                (homeRegions.length === 0 || homeRegions.includes(region))
                && servers.some(tracked => isUsable(tracked, request, nowMillis))
            );
            if (regions.length === 0) {
                return pauseMillis(request, nowMillis) > 0 ? "paused" : "no servers";
            }
            if (request.isFirstAttempt) {
                view.balance.countRequest();
            }
            const targetRegion = chooseTargetRegion(request, regions);
            let overflow: Placed | undefined;
            for (const region of regions) {
                if (region.region === targetRegion) {
                    const placed = cheapestIn(request, region, false, nowMillis);
                    if (placed !== undefined) {
                        return placed;
                    }
                }
            }
            for (const region of regions) {
                if (region.region !== targetRegion) {
                    overflow = cheaperOf(overflow, cheapestIn(request, region, true, nowMillis));
                }
            }
            if (overflow !== undefined && view.balance.tryOverflow()) {
                return overflow;
            }
            const isRateLimited = (tracked: TrackedServer) =>
                !isUsable(tracked, request, nowMillis)
                || nowMillis + rateLimitWaitMillis(tracked, nowMillis) > request.latestSendMillis;
            return regions.every(({ servers }) => servers.every(isRateLimited)) ? "rate limited" : "all busy";
        },
        canHedge: ({ tracked, isRemote }, nowMillis) =>
            acceptsRequests(tracked, nowMillis) && tracked.coldUntilMillis <= nowMillis
            && rateLimitWaitMillis(tracked, nowMillis) === 0
            && hasFreeSlot(tracked, isRemote),
        reserve: ({ tracked }, nowMillis) => {
            tracked.ownInFlight += 1;
            tracked.recentSends.add(nowMillis);
            if (tracked.coldUntilMillis > nowMillis) {
                tracked.coldRateLimiter.consumeToken();
            }
            if (tracked.rateLimit.current(nowMillis) !== undefined) {
                tracked.rateLimit.consumeToken();
            }
        }
    };
}

function cheaperOf(left: Placed | undefined, right: Placed | undefined): Placed | undefined {
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    return right.expectedMillis < left.expectedMillis ? right : left;
}

interface RegionServers {
    readonly region: string;
    readonly regionHash: number;
    readonly servers: readonly TrackedServer[];
    /** The servers in the key's rendezvous order, first the one with the highest weight. */
    readonly serversOfKey: (keyHash: number) => readonly TrackedServer[];
}

type Layout = readonly RegionServers[];

interface CachedLayout {
    readonly servers: readonly TrackedServer[];
    readonly weights: readonly number[];
    readonly weighedAtMillis: number;
    readonly layout: Layout;
}

function groupBy<Key, Value>(values: readonly Value[], keyOf: (value: Value) => Key): Map<Key, Value[]> {
    const groups = new Map<Key, Value[]>();
    for (const value of values) {
        const group = groups.get(keyOf(value));
        if (group === undefined) {
            groups.set(keyOf(value), [value]);
        }
        else {
            group.push(value);
        }
    }
    return groups;
}

function makeLayout(servers: readonly TrackedServer[], weights: readonly number[]): Layout {
    const weightOf = new Map(servers.map((tracked, index) => [tracked, weights[index]!]));
    return [...groupBy(servers, tracked => tracked.server.region)].map(([region, inRegion]) => ({
        region,
        regionHash: hashText(region),
        servers: inRegion,
        serversOfKey: makeRendezvousOrders(inRegion, tracked => weightOf.get(tracked) ?? 1)
    }));
}

/** Weighted rendezvous orders of a fixed list of servers, each computed once while its key is in use. */
function makeRendezvousOrders(
    servers: readonly TrackedServer[],
    weightOf: (tracked: TrackedServer) => number
): RegionServers["serversOfKey"] {
    const orders = new Map<number, readonly TrackedServer[]>();
    return keyHash => {
        let order = orders.get(keyHash);
        if (order === undefined) {
            order = servers
                .map(tracked => ({
                    tracked,
                    score: Math.log(toUnitInterval(mixHashes(tracked.hash, keyHash))) / weightOf(tracked)
                }))
                .sort((left, right) => right.score - left.score)
                .map(({ tracked }) => tracked);
            if (orders.size >= maxCachedKeys) {
                orders.clear();
            }
            orders.set(keyHash, order);
        }
        return order;
    };
}
