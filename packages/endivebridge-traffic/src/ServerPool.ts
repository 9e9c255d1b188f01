import { hashText } from "./Hash";
import { makeServerRateLimit, type ServerRateLimit } from "./ServerRateLimit";
import { makeSingleTokenBucket, type SingleTokenBucket } from "./SingleTokenBucket";
import { makeSlidingCount, type SlidingCount } from "./SlidingCount";

/** Description of a backend server, reported by the server or by the platform. */
export interface BackendServer {
    readonly id: string;
    readonly service: string;
    readonly host: string;
    readonly port: number;
    readonly failureDomain: string;
    readonly region: string;
    readonly slots: number;
    readonly isLeaving: boolean;
    /** Remaining cold time of the server, counted from the receipt of this description. */
    readonly coldRemainingMillis: number;
    /** Start of this incarnation on the server's own wall clock; only compared with others of the same id. */
    readonly bornEpochMillis: number;
}

/** Backend server with its load and health as seen by this instance. */
export interface TrackedServer {
    server: BackendServer;
    readonly hash: number;
    readonly coldRateLimiter: SingleTokenBucket;
    readonly rateLimit: ServerRateLimit;
    /** Sends of this instance in the last `recentSendsMillis`. */
    readonly recentSends: SlidingCount;
    ownInFlight: number;
    /** Requests in flight from other instances, by their last reports. */
    peersInFlight: number;
    /** Current service time relative to the usual one; 1 is usual. */
    slowness: number;
    slownessAtMillis: number;
    coldUntilMillis: number;
    /** Time until which the server is skipped after failed connections. */
    avoidUntilMillis: number;
    failedConnections: number;
    /** Share of recent requests that the server failed or rejected. */
    failureShare: number;
    /** Whether an answer of the server has said that it is leaving, which its description may not say yet. */
    hasAnnouncedLeaving: boolean;
    /** Time until which the server has asked this instance for no requests. */
    pausedUntilMillis: number;
    /** Whether the server has answered no request since its last pause. */
    isResuming: boolean;
}

/** Whether a server gets no further requests, by its description or by its own answers. */
export function isLeaving({ server, hasAnnouncedLeaving }: TrackedServer): boolean {
    return server.isLeaving || hasAnnouncedLeaving;
}

/** The backend servers that this instance may use, by id and by service. */
export interface ServerPool {
    readonly get: (id: string) => TrackedServer | undefined;
    /** Servers of a service; the same array until one is added or removed. */
    readonly ofService: (service: string) => readonly TrackedServer[];
    readonly all: () => Iterable<TrackedServer>;
    readonly size: () => number;
    /** Adds or updates a server; a new incarnation under a known id starts with fresh load and health. */
    readonly upsert: (server: BackendServer, nowMillis: number) => TrackedServer;
    readonly remove: (id: string) => TrackedServer | undefined;
}

/** Window of the count of recent sends to a server, which is logged when its rate limit changes. */
export const recentSendsMillis = 4_000;

/** Limit on the removed servers whose announcements are kept. */
const maxRemovedAnnouncements = 1_000;

type Announcements = Pick<TrackedServer, "hasAnnouncedLeaving" | "pausedUntilMillis" | "isResuming">;

const emptyServerList: readonly TrackedServer[] = [];

/** Creates a pool without servers. */
export function makeServerPool(): ServerPool {
    const byId = new Map<string, TrackedServer>();
    const byService = new Map<string, TrackedServer[]>();
    /** What removed servers have announced, and when they started; they may be listed again until they end. */
    const removedAnnouncements = new Map<string, Announcements & { readonly bornEpochMillis: number; }>();

    const keepAnnouncements = ({ server, hasAnnouncedLeaving, pausedUntilMillis, isResuming }: TrackedServer) => {
        if (!hasAnnouncedLeaving && !isResuming) {
            return;
        }
        const { id, bornEpochMillis } = server;
        removedAnnouncements.delete(id);
        removedAnnouncements.set(id, { bornEpochMillis, hasAnnouncedLeaving, pausedUntilMillis, isResuming });
        if (removedAnnouncements.size > maxRemovedAnnouncements) {
            removedAnnouncements.delete(removedAnnouncements.keys().next().value!);
        }
    };

    const announcementsOf = ({ id, bornEpochMillis }: BackendServer): Announcements => {
        const kept = removedAnnouncements.get(id);
        return kept?.bornEpochMillis === bornEpochMillis
            ? kept
            : { hasAnnouncedLeaving: false, pausedUntilMillis: 0, isResuming: false };
    };

    const removeFromService = (tracked: TrackedServer) => {
        const { service } = tracked.server;
        const remaining = (byService.get(service) ?? []).filter(other => other !== tracked);
        if (remaining.length === 0) {
            byService.delete(service);
        }
        else {
            byService.set(service, remaining);
        }
    };

    const addToService = (tracked: TrackedServer) => {
        const { service } = tracked.server;
        byService.set(service, [...byService.get(service) ?? [], tracked]);
    };

    const makeTrackedServer = (server: BackendServer, nowMillis: number): TrackedServer => ({
        ...announcementsOf(server),
        server,
        hash: hashText(server.id),
        coldRateLimiter: makeSingleTokenBucket(nowMillis),
        rateLimit: makeServerRateLimit(nowMillis),
        recentSends: makeSlidingCount(recentSendsMillis),
        ownInFlight: 0,
        peersInFlight: 0,
        slowness: 1,
        slownessAtMillis: nowMillis,
        coldUntilMillis: nowMillis + server.coldRemainingMillis,
        avoidUntilMillis: 0,
        failedConnections: 0,
        failureShare: 0
    });

    const isSameIncarnation = (known: BackendServer, server: BackendServer): boolean =>
        known.service === server.service && known.bornEpochMillis === server.bornEpochMillis
        && known.host === server.host && known.port === server.port;

    return {
        get: id => byId.get(id),
        ofService: service => byService.get(service) ?? emptyServerList,
        all: () => byId.values(),
        size: () => byId.size,
        upsert: (server, nowMillis) => {
            const known = byId.get(server.id);
            if (known !== undefined && isSameIncarnation(known.server, server)) {
                // Requests in flight reference the tracked server, so it is updated in place.
                const coldUntilMillis = Math.max(known.coldUntilMillis, nowMillis + server.coldRemainingMillis);
                return Object.assign(known, { server, coldUntilMillis });
            }
            if (known !== undefined) {
                removeFromService(known);
            }
            const tracked = makeTrackedServer(server, nowMillis);
            byId.set(server.id, tracked);
            addToService(tracked);
            return tracked;
        },
        remove: id => {
            const known = byId.get(id);
            if (known !== undefined) {
                byId.delete(id);
                removeFromService(known);
                keepAnnouncements(known);
            }
            return known;
        }
    };
}
